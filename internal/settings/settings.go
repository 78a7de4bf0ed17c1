// Package settings reads JSON settings strictly: unknown fields are refused, and each error names
// the file, the field, the value and what is allowed.
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

// ExitCode is the exit code of a process whose settings are refused.
const ExitCode = 2

// Problem is one refused setting.
type Problem struct {
	File    string
	Field   string
	Value   any
	Allowed string
}

// Error names the file, the field, the value and what is allowed, on one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: field %q has value %v; allowed: %s", p.File, p.Field, p.Value, p.Allowed)
}

// Checker is implemented by settings that can check themselves after decoding.
type Checker interface {
	// Check records every refused field in c.
	Check(c *Check)
}

// Check collects refused fields. Its methods take the field's JSON path.
type Check struct {
	file     string
	problems []error
}

// Require records a problem when ok is false.
func (c *Check) Require(ok bool, field string, value any, allowed string) {
	if !ok {
		c.problems = append(c.problems, &Problem{File: c.file, Field: field, Value: value, Allowed: allowed})
	}
}

// NotEmpty requires a value.
func (c *Check) NotEmpty(field, value string) {
	c.Require(value != "", field, `""`, "a non-empty string")
}

// HostPort requires an address of the form ip:port.
func (c *Check) HostPort(field, value string) {
	host, port, err := net.SplitHostPort(value)
	ok := err == nil && net.ParseIP(host) != nil && port != ""
	c.Require(ok, field, fmt.Sprintf("%q", value), "an address of the form ip:port")
}

// Between requires low <= value <= high.
func (c *Check) Between(field string, value, low, high int) {
	c.Require(value >= low && value <= high, field, value, fmt.Sprintf("an integer from %d to %d", low, high))
}

// DurationBetween requires low <= value <= high.
func (c *Check) DurationBetween(field string, value Duration, low, high time.Duration) {
	d := time.Duration(value)
	c.Require(d >= low && d <= high, field, d, fmt.Sprintf("a duration from %s to %s", low, high))
}

// Err returns the problems joined one a line, or nil.
func (c *Check) Err() error { return errors.Join(c.problems...) }

// Duration is a time.Duration written in JSON as a string such as "250ms".
type Duration time.Duration

// UnmarshalJSON reads a string that time.ParseDuration accepts.
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

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Load reads file into target, which holds the defaults, and checks it.
func Load(file string, target Checker) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("%s: cannot read settings: %w", file, err)
	}
	return Parse(file, data, target)
}

// Parse decodes data into target and checks it. The name of the file is used in errors only.
func Parse(file string, data []byte, target Checker) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeProblem(file, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &Problem{File: file, Field: "(end of file)", Value: "more data", Allowed: "one JSON object"}
	}
	check := &Check{file: file}
	target.Check(check)
	return check.Err()
}

func decodeProblem(file string, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &Problem{File: file, Field: wrongType.Field, Value: wrongType.Value, Allowed: wrongType.Type.String()}
	}
	const unknownPrefix = `json: unknown field "`
	if name, found := strings.CutPrefix(err.Error(), unknownPrefix); found {
		return &Problem{File: file, Field: strings.TrimSuffix(name, `"`), Value: "present", Allowed: "only documented fields"}
	}
	return &Problem{File: file, Field: "(document)", Value: err.Error(), Allowed: "one JSON object with documented fields"}
}
