package ledger

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"waxwingcleat.example/waxwingcleat/internal/failure"
)

// HashKey returns the hash of a caller's key and the target (such as method and path) it was used on. The hash is
// cryptographic because callers choose their keys: with a forged collision, one caller would receive the response to
// another.
func HashKey(key string, target string) KeyHash {
	hash := sha256.New()
	hash.Write([]byte(target))
	hash.Write([]byte{0})
	hash.Write([]byte(key))
	var out KeyHash
	copy(out[:], hash.Sum(nil))
	return out
}

// ParseKeyTime returns when a key was created: the time in a UUIDv7 key, otherwise the RFC 3339 time in header,
// otherwise zero. The time in the key takes precedence because the header may change between retries. If the header
// can't be parsed, ParseKeyTime returns an error with code failure.Invalid.
func ParseKeyTime(key, header string) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err == nil && id.Version() == 7 {
		seconds, nanoseconds := id.Time().UnixTime()
		return time.Unix(seconds, nanoseconds).UTC(), nil
	}
	if header == "" {
		return time.Time{}, nil
	}
	made, err := time.Parse(time.RFC3339, header)
	if err != nil {
		return time.Time{}, failure.Wrap(err, failure.Invalid, "parse key time", "")
	}
	return made, nil
}
