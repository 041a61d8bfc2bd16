package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
)

const (
	// MinKeyLength is the least length of the shared key in bytes.
	MinKeyLength = 16
	maxKeyLength = 1024
)

var (
	idPattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	idRule   = "1 to 63 of a-z, 0-9, . and -"
	nameRule = "1 to 63 of a-z, 0-9 and -"
)

// problem is one refused setting, without its position in the file.
type problem struct{ key, message string }

type checker struct{ problems []problem }

func (c *checker) refuse(key, format string, args ...any) {
	c.problems = append(c.problems, problem{key, fmt.Sprintf(format, args...)})
}

// check returns all problems of the settings, in no particular order. where is nil for
// settings that were not read from a file.
func check(s Settings, where positions) []problem {
	var c checker
	if s.Role != RoleEntry && s.Role != RoleAgent {
		c.refuse("role", `must be "entry" or "agent"`)
	}
	c.process(s.Process)
	c.http(s.HTTP)
	c.ranges(s)
	c.network(s)
	c.log(s.Log)
	c.auth(s.Auth)
	c.role(s)
	c.tables(s, where)
	c.contradictions(s)
	return c.problems
}

func (c *checker) process(p Process) {
	c.matches("process.id", p.ID, idPattern, idRule)
	c.matches("process.region", p.Region, namePattern, nameRule)
	c.matches("process.failure_domain", p.FailureDomain, namePattern, nameRule)
	if p.Rack != "" {
		c.matches("process.rack", p.Rack, namePattern, nameRule)
	}
	c.address("process.listen", p.Listen, true)
	if p.Advertise != "" {
		c.address("process.advertise", p.Advertise, false)
	}
	if p.Key != "" {
		c.secret("process.key", p.Key)
	}
	if p.Key == "" && p.KeyFile == "" {
		c.refuse("process.key", "is missing; set process.key or process.key_file")
	}
}

func (c *checker) http(h HTTP) {
	c.address("http.listen", h.Listen, true)
}

func (c *checker) ranges(s Settings) {
	for _, r := range ranges {
		value := r.value(&s)
		if r.role != "" && r.role != s.Role {
			continue
		}
		if value < r.min || value > r.max {
			c.refuse(r.key, "must be %d to %d, not %d", r.min, r.max, value)
		}
	}
}

func (c *checker) network(s Settings) {
	seen := map[string]bool{}
	for i, seed := range s.Entries.Seeds {
		key := fmt.Sprintf("entries.seeds[%d]", i)
		c.address(key, seed, false)
		if seen[seed] {
			c.refuse(key, "%s is listed twice", seed)
		}
		seen[seed] = true
	}
	for from, to := range s.Network.AddressMap {
		key := "network.address_map." + from
		c.address(key, from, false)
		c.address(key, to, false)
	}
}

func (c *checker) log(l Log) {
	if l.Format != FormatHuman && l.Format != FormatJSON {
		c.refuse("log.format", `must be "human" or "json"`)
	}
	if l.Level != LevelDebug && l.Level != LevelInfo && l.Level != LevelError {
		c.refuse("log.level", `must be "debug", "info" or "error"`)
	}
}

func (c *checker) auth(a Auth) {
	names, hashes := map[string]bool{}, map[string]bool{}
	for i, t := range a.Tokens {
		key := fmt.Sprintf("auth.tokens[%d]", i)
		c.token(key, t)
		if names[t.Name] {
			c.refuse(key+".name", "another token has this name")
		}
		if hashes[t.SHA256] {
			c.refuse(key+".sha256", "another token has this hash")
		}
		names[t.Name], hashes[t.SHA256] = true, true
	}
}

func (c *checker) token(key string, t Token) {
	c.matches(key+".name", t.Name, namePattern, nameRule)
	if !sha256Pattern.MatchString(t.SHA256) {
		c.refuse(key+".sha256", "must be the SHA-256 hash of the token in 64 lower-case hexadecimal digits")
	}
	switch t.Role {
	case Operator, TeamOperator, Caller, Reader:
	default:
		c.refuse(key+".role", `must be "operator", "team-operator", "caller" or "reader"`)
		return
	}
	if t.Team != "" {
		c.matches(key+".team", t.Team, namePattern, nameRule)
	}
	if t.Franchisee != "" && t.Franchisee != AnyFranchisee {
		c.matches(key+".franchisee", t.Franchisee, namePattern, nameRule)
	}
	switch {
	case t.Role == TeamOperator && t.Team == "":
		c.refuse(key+".team", "is missing; %s.role = %q needs it", key, t.Role)
	case t.Role == Operator && t.Team != "":
		c.refuse(key+".team", "contradicts %s.role = %q, which covers all teams", key, t.Role)
	}
	switch {
	case t.Role == Caller && t.Franchisee == "":
		c.refuse(key+".franchisee", "is missing; %s.role = %q needs it (%q means all)", key, t.Role, AnyFranchisee)
	case t.Role != Caller && t.Franchisee != "":
		c.refuse(key+".franchisee", "contradicts %s.role = %q; only a caller has it", key, t.Role)
	}
}

func (c *checker) matches(key, value string, pattern *regexp.Regexp, rule string) {
	if value == "" {
		c.refuse(key, "is missing")
		return
	}
	if !pattern.MatchString(value) {
		c.refuse(key, "must be %s", rule)
	}
}

func (c *checker) secret(key string, value Secret) {
	if len(value) < MinKeyLength || len(value) > maxKeyLength {
		c.refuse(key, "must have %d to %d characters", MinKeyLength, maxKeyLength)
	}
}

// address requires an IP address and a port in canonical form, because addresses are
// compared as strings. Only a listener may have port 0, which lets the system choose.
func (c *checker) address(key, value string, listener bool) {
	if value == "" {
		c.refuse(key, "is missing")
		return
	}
	a, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.refuse(key, "must be an IP address and a port, such as 127.0.0.1:7100, not %q", value)
	case a.String() != value:
		c.refuse(key, "must be written as %s, not %q", a, value)
	case !listener && (a.Port() == 0 || a.Addr().IsUnspecified()):
		c.refuse(key, "must be an address that can be dialled, not %s", value)
	}
}

func (c *checker) url(key, value string) {
	if value == "" {
		c.refuse(key, "is missing")
		return
	}
	u, err := url.Parse(value)
	switch {
	case err != nil || (u.Scheme != "http" && u.Scheme != "https"):
		c.refuse(key, "must be a URL that starts with http:// or https://")
	case u.User != nil || u.RawQuery != "" || u.Fragment != "":
		c.refuse(key, "must have no user, query or fragment")
	default:
		c.host(key, u.Host)
	}
}

func (c *checker) host(key, host string) {
	if _, err := netip.ParseAddrPort(host); err == nil {
		return
	}
	if _, err := netip.ParseAddr(strings.Trim(host, "[]")); err == nil {
		return
	}
	c.refuse(key, "must have an IP address as its host, not a name")
}
