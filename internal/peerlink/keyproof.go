package peerlink

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/keyproof"
	"waxwingcleat.example/waxwingcleat/internal/serving"
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
	// Era, Offset and Version are the position that the proof needs. Builds that don't know eras leave theirs out.
	Era     serving.StoreEra `json:"e,omitempty"`
	Offset  int64            `json:"o"`
	Version int64            `json:"v"`
}

// NewKeyAnswer encodes the answer to a challenge.
func NewKeyAnswer(challenge KeyChallenge, age time.Duration, position keyproof.Position) KeyAnswer {
	return KeyAnswer{
		Nonce: challenge.Nonce, AgeMs: (age + time.Millisecond - 1).Milliseconds(),
		Era: position.Era, Offset: position.Offset, Version: position.Version,
	}
}

// Decode returns the age of the sender's proof and the position that it needs.
func (a KeyAnswer) Decode() (age time.Duration, position keyproof.Position) {
	return time.Duration(a.AgeMs) * time.Millisecond, keyproof.Position{Era: a.Era, Offset: a.Offset, Version: a.Version}
}
