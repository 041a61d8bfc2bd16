package event

import (
	"fmt"

	"camphorhead.example/camphorhead/connection/message"
)

// ConnectionLog logs the connection events of a process. It implements peer.Observer.
type ConnectionLog struct{ log Logger }

// NewConnectionLog returns a ConnectionLog that writes to log.
func NewConnectionLog(log Logger) ConnectionLog { return ConnectionLog{log} }

// ConnOpened logs a completed handshake.
func (c ConnectionLog) ConnOpened(remote message.Hello) {
	c.log.Emit(ConnectionOpened, "peer", remote.ID, "address", remote.Address)
}

// ConnClosed logs the end of a connection. err is nil after an orderly close.
func (c ConnectionLog) ConnClosed(remote message.Hello, err error) {
	reason := "closed"
	if err != nil {
		reason = err.Error()
	}
	c.log.Emit(ConnectionClosed, "peer", remote.ID, "address", remote.Address, "reason", reason)
}

// ConnTimedOut logs a connection that timed out.
func (c ConnectionLog) ConnTimedOut(remote message.Hello) {
	c.log.Emit(ConnectionTimedOut, "peer", remote.ID, "address", remote.Address)
}

// NotificationRejected logs a notification that the full pool rejected.
func (c ConnectionLog) NotificationRejected(remote message.Hello) {
	c.log.Emit(NotificationRejected, "peer", remote.ID, "address", remote.Address)
}

// ConnRefused logs a failed handshake.
func (c ConnectionLog) ConnRefused(address string, err error) {
	c.log.Emit(AuthenticationRefused, "address", address, "surface", "frames", "reason", err.Error())
}

// FrameMalformed logs a frame that could not be decoded.
func (c ConnectionLog) FrameMalformed(address string, err error) {
	c.log.Emit(MalformedFrame, "address", address, "reason", err.Error())
}

// HandlerPanicked logs a request whose handler has panicked.
func (c ConnectionLog) HandlerPanicked(remote message.Hello, kind message.Kind, cause any) {
	c.log.Emit(InternalError, "component", fmt.Sprintf("handler of kind %d from %s", kind, remote.ID), "error", cause)
}
