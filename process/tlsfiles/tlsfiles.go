// Package tlsfiles serves a TLS certificate from files and reloads them when they change,
// so that renewing a certificate needs no restart.
//
// If the changed files cannot be loaded, the previous certificate stays in use.
package tlsfiles

import (
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// checkInterval is the least time between checks for changes, at any rate of handshakes.
const checkInterval = time.Second

// Files is a certificate file and its key file. Any goroutine may use it.
type Files struct {
	certFile, keyFile string
	now               func() time.Time
	current           atomic.Pointer[loaded]
	lastCheck         atomic.Int64 // unix nanoseconds
}

type loaded struct {
	certificate *tls.Certificate
	modified    time.Time
}

// Open loads the files. now is the clock for checkInterval.
func Open(certFile, keyFile string, now func() time.Time) (*Files, error) {
	f := &Files{certFile: certFile, keyFile: keyFile, now: now}
	modified, err := f.modified()
	if err != nil {
		return nil, err
	}
	if err := f.load(modified); err != nil {
		return nil, err
	}
	f.lastCheck.Store(now().UnixNano())
	return f, nil
}

// Config returns a server configuration that serves the current certificate.
func (f *Files) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			f.reload()
			return f.current.Load().certificate, nil
		},
	}
}

// reload loads the files if their modification time has changed. Every handshake calls it.
func (f *Files) reload() {
	last, now := f.lastCheck.Load(), f.now().UnixNano()
	if now-last < int64(checkInterval) || !f.lastCheck.CompareAndSwap(last, now) {
		return
	}
	modified, err := f.modified()
	if err != nil || modified.Equal(f.current.Load().modified) {
		return
	}
	_ = f.load(modified) // the files may be half written; a handshake after checkInterval tries again
}

func (f *Files) load(modified time.Time) error {
	certificate, err := tls.LoadX509KeyPair(f.certFile, f.keyFile)
	if err != nil {
		return errs.New("load certificate %s with key %s: %w", f.certFile, f.keyFile, err)
	}
	f.current.Store(&loaded{certificate: &certificate, modified: modified})
	return nil
}

// modified returns the later modification time of the two files.
func (f *Files) modified() (time.Time, error) {
	cert, err := os.Stat(f.certFile)
	if err != nil {
		return time.Time{}, errs.Wrap(err)
	}
	key, err := os.Stat(f.keyFile)
	if err != nil {
		return time.Time{}, errs.Wrap(err)
	}
	if key.ModTime().After(cert.ModTime()) {
		return key.ModTime(), nil
	}
	return cert.ModTime(), nil
}
