package peerlink

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/keyproof"
)

// KeyChallenge asks how long ago the receiver's configuration was the newest.
type KeyChallenge struct {
	Nonce uint64 `json:"n"`
}

// KeyAnswer answers a challenge.
type KeyAnswer struct {
	Nonce uint64 `json:"n"`
	// AgeMs is the age of the sender's proof, rounded up, at the time of the answer.
	AgeMs int64 `json:"a"`
	// Offset and Version are the position that the proof needs.
	Offset  int64 `json:"o"`
	Version int64 `json:"v"`
}

// NewKeyAnswer encodes the answer to a challenge.
func NewKeyAnswer(challenge KeyChallenge, age time.Duration, position keyproof.Position) KeyAnswer {
	return KeyAnswer{
		Nonce: challenge.Nonce, AgeMs: (age + time.Millisecond - 1).Milliseconds(), Offset: position.Offset, Version: position.Version,
	}
}

// Decode returns the age of the sender's proof and the position that it needs.
func (a KeyAnswer) Decode() (age time.Duration, position keyproof.Position) {
	return time.Duration(a.AgeMs) * time.Millisecond, keyproof.Position{Offset: a.Offset, Version: a.Version}
}
