package upstream

import (
	"errors"
	"io"
	"slices"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
)

// Errors of ReadHeld.
var (
	ErrTooLarge = errors.New("the answer is too large to hold")
	ErrNoMemory = errors.New("too many large answers are held")
)

// Budget bounds the memory of answers that are held. The packages that translate a protocol take it from here, with the connections.
type Budget = bytelimit.Budget

// NewBudget returns a budget of so many bytes, beside exempt bytes of each answer. Its metrics begin with name.
func NewBudget(name string, bytes int64, exempt int) *Budget {
	return bytelimit.NewBudget(name, bytes, exempt)
}

// minimumBuffer is the first size of the buffer of an answer whose length isn't known.
const minimumBuffer = 4 << 10

// ReadHeld reads the body of an answer of the given length, -1 if it isn't known. It returns what it has read with ErrTooLarge if
// the body has limit bytes or more, and with ErrNoMemory if the holding allows no more.
func ReadHeld(body io.Reader, length int64, limit int, holding *bytelimit.Holding) (data []byte, err error) {
	size := min(minimumBuffer, limit)
	if 0 <= length && length < int64(limit) {
		// One more byte, so that the end is read without growing.
		size = int(length) + 1
	}
	for {
		if !holding.Grow(size) {
			return data, ErrNoMemory
		}
		data = slices.Grow(data, size-len(data))
		for len(data) < size {
			n, err := body.Read(data[len(data):size])
			data = data[:len(data)+n]
			if errors.Is(err, io.EOF) {
				return data, nil
			}
			if err != nil {
				return data, err
			}
		}
		if size >= limit {
			return data, ErrTooLarge
		}
		size = min(2*size, limit)
	}
}
