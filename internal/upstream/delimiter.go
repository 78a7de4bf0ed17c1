package upstream

import "net/http"

// Delimiter is how the end of an answer's body is marked (RFC 9112, section 6.3).
type Delimiter string

// The delimiters.
const (
	DelimitedByLength Delimiter = "length"
	DelimitedByChunks Delimiter = "chunks"
	// DelimitedByConnection means that the body ends with its connection, so that a server that crashes may seem to have
	// sent all of it.
	DelimitedByConnection Delimiter = "connection"
)

// DelimiterOf returns how the body of an answer is delimited.
func DelimiterOf(answer *http.Response) Delimiter {
	switch {
	case answer.ContentLength >= 0:
		return DelimitedByLength
	case len(answer.TransferEncoding) > 0:
		return DelimitedByChunks
	default:
		return DelimitedByConnection
	}
}
