// Package failure provides errors with a code, the step that failed, and the peer involved.
package failure

import (
	"errors"

	"github.com/samber/oops"
)

// Code classifies an error for callers, logs and metrics.
type Code string

// Codes used by more than one package. Packages may define additional codes.
const (
	Unavailable Code = "unavailable"
	Timeout     Code = "timeout"
	Conflict    Code = "conflict"
	Invalid     Code = "invalid"
	NotFound    Code = "not_found"
	Refused     Code = "refused"
	Internal    Code = "internal"
)

// Keys of the values in the context of an error.
const (
	stepKey = "step"
	peerKey = "peer"
)

// New returns an error with a code, the step that failed, and the address or name of the peer, which may be empty.
func New(code Code, step, peer, message string) error {
	return builder(code, step, peer).New(message)
}

// Wrap adds a code, step and peer to err. It returns nil if err is nil.
func Wrap(err error, code Code, step, peer string) error {
	if err == nil {
		return nil
	}
	return builder(code, step, peer).Wrap(err)
}

func builder(code Code, step, peer string) oops.OopsErrorBuilder {
	return oops.Code(string(code)).With(stepKey, step, peerKey, peer)
}

// CodeOf returns the code of err, or Internal if it has none.
func CodeOf(err error) Code {
	var failure oops.OopsError
	if !errors.As(err, &failure) {
		return Internal
	}
	code, ok := failure.Code().(string)
	if !ok || code == "" {
		return Internal
	}
	return Code(code)
}

// StepOf returns the step that failed with err, or an empty string.
func StepOf(err error) string { return contextValue(err, stepKey) }

// PeerOf returns the peer involved in err, or an empty string.
func PeerOf(err error) string { return contextValue(err, peerKey) }

func contextValue(err error, key string) string {
	var failure oops.OopsError
	if !errors.As(err, &failure) {
		return ""
	}
	value, _ := failure.Context()[key].(string)
	return value
}
