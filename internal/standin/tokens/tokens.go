// Package tokens computes the token texts of the engine stand-in. They depend only on the adapter, the version, the
// prompt and the token's number, so that a client can verify that an answer is complete and from the right adapter.
package tokens

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// textBytes is the number of hash bytes in a token's text. Four bytes make it unlikely that two of the 37,000 adapters
// give the same answer, even with a single token.
const textBytes = 4

// Sequence is the token sequence of one prompt on one adapter version.
type Sequence uint64

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// NewSequence returns the sequence of a prompt on an adapter version.
func NewSequence(adapter, version, prompt string) Sequence {
	hash := xxhash.New()
	for _, part := range []string{adapter, version, prompt} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	return Sequence(hash.Sum64())
}

// Text returns the text of token i, counted from 0.
func (s Sequence) Text(i int) string {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], uint64(s))
	binary.BigEndian.PutUint64(key[8:], uint64(i))
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], xxhash.Sum64(key[:]))
	return " " + hex.EncodeToString(sum[:textBytes])
}

// Prefix returns the text of the first count tokens.
func (s Sequence) Prefix(count int) string {
	var text strings.Builder
	for i := range count {
		text.WriteString(s.Text(i))
	}
	return text.String()
}

// Text returns the text of token i of a prompt on an adapter version.
func Text(adapter, version, prompt string, i int) string {
	return NewSequence(adapter, version, prompt).Text(i)
}

// ChatPrompt returns the prompt that a chat is converted to.
func ChatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}

// SplitLoadName returns the adapter and version of a load name adapter@version#number.
func SplitLoadName(name engine.LoadName) (adapter, version string) {
	full, _, _ := strings.Cut(string(name), "#")
	adapter, version, _ = strings.Cut(full, "@")
	return adapter, version
}
