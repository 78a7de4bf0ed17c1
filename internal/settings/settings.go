// Package settings parses JSON settings strictly: unknown fields are refused, and each error names the file, the field,
// the value and the allowed values.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"
)

// InvalidSettingsExitCode is the exit status of a process whose settings or flags are invalid.
const InvalidSettingsExitCode = 2

// FieldError is an invalid setting.
type FieldError struct {
	File    string
	Field   string
	Value   any
	Allowed string
}

// Error returns the file, the field, the value and the allowed values on one line.
func (p *FieldError) Error() string {
	return fmt.Sprintf("%s: field %q has value %v; allowed: %s", p.File, p.Field, p.Value, p.Allowed)
}

// Checker is implemented by settings that are checked after decoding.
type Checker interface {
	// Check records every invalid field in c.
	Check(c *Check)
}

// Check collects invalid fields. The parameter field of its methods is the JSON path of the field.
type Check struct {
	file string
	errs []error
}

// Require records a *FieldError when ok is false.
func (c *Check) Require(ok bool, field string, value any, allowed string) {
	if !ok {
		c.errs = append(c.errs, &FieldError{File: c.file, Field: field, Value: value, Allowed: allowed})
	}
}

// NotEmpty requires a non-empty string.
func (c *Check) NotEmpty(field, value string) {
	c.Require(value != "", field, `""`, "a non-empty string")
}

// HostPort requires an address of the form ip:port.
func (c *Check) HostPort(field, value string) {
	host, port, err := net.SplitHostPort(value)
	ok := err == nil && net.ParseIP(host) != nil && port != ""
	c.Require(ok, field, fmt.Sprintf("%q", value), "an address of the form ip:port")
}

// Between requires an integer with low <= value <= high.
func (c *Check) Between(field string, value, low, high int) {
	c.Require(value >= low && value <= high, field, value, fmt.Sprintf("an integer from %d to %d", low, high))
}

// DurationBetween requires a duration with low <= value <= high.
func (c *Check) DurationBetween(field string, value Duration, low, high time.Duration) {
	d := time.Duration(value)
	c.Require(d >= low && d <= high, field, d, fmt.Sprintf("a duration from %s to %s", low, high))
}

// Err returns an error with one invalid field per line, or nil if there are none.
func (c *Check) Err() error { return errors.Join(c.errs...) }

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler. It accepts the strings that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Load reads a file into target, which must hold the defaults, and checks the result.
func Load(file string, target Checker) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("%s: cannot read settings: %w", file, err)
	}
	return Parse(file, data, target)
}

// Parse decodes data into target and checks the result. The parameter file is used in errors only.
func Parse(file string, data []byte, target Checker) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodingError(file, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &FieldError{File: file, Field: "(end of file)", Value: "more data", Allowed: "one JSON object"}
	}
	check := &Check{file: file}
	target.Check(check)
	return check.Err()
}

// decodingError converts an error of the JSON decoder to a *FieldError.
func decodingError(file string, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{File: file, Field: wrongType.Field, Value: wrongType.Value, Allowed: wrongType.Type.String()}
	}
	const unknownPrefix = `json: unknown field "`
	if name, found := strings.CutPrefix(err.Error(), unknownPrefix); found {
		return &FieldError{File: file, Field: strings.TrimSuffix(name, `"`), Value: "present", Allowed: "only documented fields"}
	}
	return &FieldError{File: file, Field: "(document)", Value: err.Error(), Allowed: "one JSON object with documented fields"}
}
