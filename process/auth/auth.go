// Package auth authenticates and authorizes users of the HTTP interfaces.
//
// Only hashes of tokens are stored. Every hash is compared in constant time, so that the
// time of a refusal does not reveal how close a guess was.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/request/outcome"
)

const bearerPrefix = "Bearer "

// Principal is an authenticated user of the HTTP interfaces.
type Principal struct {
	Name       string
	Role       settings.TokenRole
	Team       string
	Franchisee string
}

// anonymous is the principal of all requests if tokens are not required.
var anonymous = Principal{Name: "anonymous", Role: settings.Operator, Franchisee: settings.AnyFranchisee}

// Authenticator authenticates bearer tokens. It is immutable.
type Authenticator struct {
	required bool
	tokens   []knownToken
}

type knownToken struct {
	hash      []byte
	principal Principal
}

// New returns an authenticator for settings that have passed their checks.
func New(cfg settings.Auth) (*Authenticator, error) {
	a := &Authenticator{required: cfg.Required}
	for _, t := range cfg.Tokens {
		hash, err := hex.DecodeString(t.SHA256)
		if err != nil {
			return nil, outcome.Field(outcome.InvalidField, "auth.tokens", t.Name+": sha256 is not hexadecimal")
		}
		a.tokens = append(a.tokens, knownToken{hash: hash, principal: Principal{
			Name: t.Name, Role: t.Role, Team: t.Team, Franchisee: t.Franchisee,
		}})
	}
	return a, nil
}

// Authenticate returns the principal of the token in an Authorization header. The kind of
// its errors is outcome.Unauthenticated.
func (a *Authenticator) Authenticate(header string) (Principal, error) {
	if !a.required {
		return anonymous, nil
	}
	token, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || token == "" {
		return Principal{}, outcome.Field(outcome.Unauthenticated, "Authorization", "a bearer token is required")
	}
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i, t := range a.tokens {
		if subtle.ConstantTimeCompare(t.hash, sum[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Principal{}, outcome.Field(outcome.Unauthenticated, "Authorization", "unknown token")
	}
	return a.tokens[found].principal, nil
}

// MayCall reports whether the principal may send and read requests for a franchisee.
func (p Principal) MayCall(franchisee string) bool {
	if p.Role == settings.Operator && p.Franchisee == settings.AnyFranchisee {
		return true
	}
	return p.Role == settings.Caller && (p.Franchisee == settings.AnyFranchisee || p.Franchisee == franchisee)
}

// MayRead reports whether the principal may read status and configuration.
func (p Principal) MayRead() bool { return p.Role != settings.Caller }

// MayOperate reports whether the principal may change objects of a team; an empty team
// stands for objects that all teams share.
func (p Principal) MayOperate(team string) bool {
	return p.Role == settings.Operator || (p.Role == settings.TeamOperator && team != "" && p.Team == team)
}
