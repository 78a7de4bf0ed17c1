package serving

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler for configurations that are passed between nodes.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

var errDigestLength = errors.New("a key's digest has another length")

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errDigestLength
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// CredentialState tells what a request presents as its API key.
type CredentialState uint8

// States of a credential.
const (
	// CredentialMissing means that the request presents none.
	CredentialMissing CredentialState = iota
	// CredentialMalformed means that what it presents can't be an API key.
	CredentialMalformed
	// CredentialPresent means that the request presents one API key.
	CredentialPresent
)

// Credential is what a request presents as its API key.
type Credential struct {
	State CredentialState
	// Digest is that of the key; zero unless the state is CredentialPresent.
	Digest KeyDigest
}

// Customer is a customer of the deployment, as operators declare it. It is immutable.
type Customer struct {
	Name string
	Keys []KeyDigest
	// Priority is the rank of the customer's requests, which replaces that of the route; nil leaves the route's.
	Priority *int
	Quota    Quota
}

// CustomerProblem is a field of a customer's declaration that can't be used and was ignored.
type CustomerProblem struct {
	// Customer is the customer's name, empty if it has none. Other is a second customer that the problem concerns.
	Customer string
	Other    string
	// Reason names the field and what is wrong with it. It never contains a key.
	Reason string
}

// QuotaUnit is what a quota counts.
type QuotaUnit uint8

// Units of quotas.
const (
	QuotaRequests QuotaUnit = iota
	QuotaTokens
)

// Quota bounds what a customer uses at all nodes together, as a rate with a burst.
type Quota struct {
	// PerSecond is the rate in units a second; zero means no quota.
	PerSecond float64
	// Burst is the number of units that may be used beyond the rate.
	Burst float64
	Unit  QuotaUnit
	// DefaultTokens is the number of tokens of a request that names none.
	DefaultTokens float64
}

// Limited reports whether there is a quota.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns the units that a request uses.
func (q Quota) Cost(request CallerRequest) float64 {
	switch {
	case q.Unit == QuotaRequests:
		return 1
	case request.TokensNamed:
		return float64(request.PromptTokens + request.OutputTokens)
	default:
		return q.DefaultTokens
	}
}
