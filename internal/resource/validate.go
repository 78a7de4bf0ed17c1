package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"slices"
	"strings"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

const (
	maximumNameLength        = 128
	maximumOperationIDLength = 64
	maximumPathLength        = 1024
	maximumVersions          = 256
	maximumZones             = 64
	maximumCopies            = 4096
	maximumRank              = 1000
	maximumQueueLimit        = 1_000_000
	maximumWaitMs            = 24 * 60 * 60 * 1000
	maximumBatchWindowMs     = 60 * 1000
	maximumGatherSize        = 65_536
	maximumSlots             = 4096
	maximumConcurrency       = 65_536
	maximumEndpoints         = 1024
	maximumCalls             = 256
)

// namePattern excludes "@" and "#", which separate adapter, version and load number in the names passed to engines,
// and "/", which separates the segments of API paths.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

const allowedName = "1 to 128 letters, digits, '.', '_' or '-', starting and ending with a letter or digit"

var callMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// FieldError is the error for one invalid field of a resource or operation.
type FieldError struct {
	Field   string
	Value   any
	Allowed string
}

// Error returns a message with the field, its value and the allowed values.
func (p *FieldError) Error() string {
	return fmt.Sprintf("field %q has value %v; allowed: %s", p.Field, p.Value, p.Allowed)
}

// Validate checks an operation independently of the state that it applies to. The error is a *FieldError. The state
// machine applies the same rules to every record, so processes of two builds with different rules would compute
// different states: a rule may only change together with the record format.
func Validate(op Operation) error {
	_, fieldErr := parseOperation(op)
	if fieldErr == nil {
		return nil
	}
	return fieldErr
}

// parseOperation returns the resource that the operation declares, or nil for a deletion.
func parseOperation(op Operation) (item, *FieldError) {
	c := &checker{}
	c.require(op.ID != "" && len(op.ID) <= maximumOperationIDLength, "operationId", quote(op.ID), "1 to 64 characters")
	c.require(op.Kind.Valid(), "kind", quote(string(op.Kind)), "one of "+kindNames())
	c.name("name", op.Name)
	if op.Delete {
		c.require(op.ExpectedVersion > 0, "resourceVersion", op.ExpectedVersion,
			"the current version of the resource to delete")
		c.require(len(op.Spec) == 0, "spec", "present", "no spec in a deletion")
	}
	if c.fieldErr != nil || op.Delete {
		return nil, c.fieldErr
	}
	return parseSpec(op.Kind, op.Name, op.Spec)
}

func parseSpec(kind Kind, name string, spec json.RawMessage) (item, *FieldError) {
	parsed, fieldErr := decodeSpec(kind, name, spec)
	if fieldErr != nil {
		return nil, fieldErr
	}
	c := &checker{}
	parsed.check(c)
	return parsed, c.fieldErr
}

func decodeSpec(kind Kind, name string, spec json.RawMessage) (item, *FieldError) {
	parsed := newItem(kind)
	parsed.meta().Name = name
	if trimmed := bytes.TrimSpace(spec); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, &FieldError{Field: "spec", Value: quote(string(trimmed)), Allowed: "a JSON object"}
	}
	if err := DecodeStrict(spec, parsed.specification()); err != nil {
		return nil, prefixed(err, "spec")
	}
	return parsed, nil
}

// DecodeStrict decodes one JSON document and rejects unknown fields and trailing data. The error is a *FieldError.
func DecodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodingError(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &FieldError{Field: "(document)", Value: "more data", Allowed: "one JSON document"}
	}
	return nil
}

func decodingError(err error) *FieldError {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{Field: wrongType.Field, Value: wrongType.Value, Allowed: wrongType.Type.String()}
	}
	if name, found := strings.CutPrefix(err.Error(), `json: unknown field "`); found {
		return &FieldError{Field: strings.TrimSuffix(name, `"`), Value: "present", Allowed: "only documented fields"}
	}
	return &FieldError{Field: "(document)", Value: quote(err.Error()), Allowed: "a JSON document with documented fields"}
}

func prefixed(err error, prefix string) *FieldError {
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) {
		fieldErr = decodingError(err)
	}
	fieldErr.Field = prefix + "." + fieldErr.Field
	return fieldErr
}

// checker records the first invalid field only, so that every reader stores the same short result.
type checker struct{ fieldErr *FieldError }

func (c *checker) require(ok bool, field string, value any, allowed string) {
	if !ok && c.fieldErr == nil {
		c.fieldErr = &FieldError{Field: field, Value: value, Allowed: allowed}
	}
}

func (c *checker) name(field, value string) {
	ok := len(value) <= maximumNameLength && namePattern.MatchString(value)
	c.require(ok, field, quote(value), allowedName)
}

func (c *checker) optionalName(field, value string) {
	if value != "" {
		c.name(field, value)
	}
}

func (c *checker) between(field string, value, low, high int) {
	c.require(value >= low && value <= high, field, value, fmt.Sprintf("an integer from %d to %d", low, high))
}

func (c *checker) count(field string, value, low, high int) {
	c.require(value >= low && value <= high, field, fmt.Sprintf("%d entries", value),
		fmt.Sprintf("%d to %d entries", low, high))
}

func (c *checker) address(field, value string) {
	host, port, err := net.SplitHostPort(value)
	ok := err == nil && net.ParseIP(host) != nil && port != ""
	c.require(ok, field, quote(value), "an address of the form ip:port")
}

func quote(value string) string {
	const maximumLength = 120
	if len(value) > maximumLength {
		value = value[:maximumLength] + "..."
	}
	return fmt.Sprintf("%q", value)
}

func (a *Adapter) check(c *checker) {
	spec := &a.Spec
	c.name("spec.baseModel", spec.BaseModel)
	c.count("spec.versions", len(spec.Versions), 1, maximumVersions)
	names := make([]string, 0, len(spec.Versions))
	for i, version := range spec.Versions {
		field := fmt.Sprintf("spec.versions[%d]", i)
		c.name(field+".name", version.Name)
		c.require(!slices.Contains(names, version.Name), field+".name", quote(version.Name),
			"a name that no other version has")
		pathOK := version.Path != "" && len(version.Path) <= maximumPathLength
		c.require(pathOK, field+".path", quote(version.Path), fmt.Sprintf("1 to %d characters", maximumPathLength))
		names = append(names, version.Name)
	}
	c.require(slices.Contains(names, spec.DefaultVersion), "spec.defaultVersion", quote(spec.DefaultVersion),
		"the name of one of spec.versions")
	c.optionalName("spec.priorityClass", spec.PriorityClass)
}

func (p *Placement) check(c *checker) {
	c.name("spec.adapter", p.Spec.Adapter)
	c.count("spec.zones", len(p.Spec.Zones), 0, maximumZones)
	for i, zone := range p.Spec.Zones {
		field := fmt.Sprintf("spec.zones[%d]", i)
		c.name(field, zone)
		c.require(!slices.Contains(p.Spec.Zones[:i], zone), field, quote(zone), "each zone once")
	}
	c.between("spec.minimumCopies", p.Spec.MinimumCopies, 0, maximumCopies)
}

func (p *PriorityClass) check(c *checker) {
	c.between("spec.rank", p.Spec.Rank, 0, maximumRank)
	c.between("spec.queueLimit", p.Spec.QueueLimit, 1, maximumQueueLimit)
	c.between("spec.maximumWaitMs", p.Spec.MaximumWaitMs, 1, maximumWaitMs)
	c.between("spec.batchWindowMs", p.Spec.BatchWindowMs, 0, maximumBatchWindowMs)
	c.require(p.Spec.BatchWindowMs <= p.Spec.MaximumWaitMs, "spec.batchWindowMs", p.Spec.BatchWindowMs,
		"at most spec.maximumWaitMs")
	c.between("spec.gatherSize", p.Spec.GatherSize, 0, maximumGatherSize)
	c.require(p.Spec.GatherSize == 0 || p.Spec.BatchWindowMs > 0, "spec.gatherSize", p.Spec.GatherSize,
		"0 without a spec.batchWindowMs")
}

func (b *BackendServer) check(c *checker) {
	c.name("spec.zone", b.Spec.Zone)
	c.address("spec.address", b.Spec.Address)
	c.name("spec.baseModel", b.Spec.BaseModel)
	c.between("spec.slots", b.Spec.Slots, 1, maximumSlots)
	c.between("spec.concurrency", b.Spec.Concurrency, 1, maximumConcurrency)
}

func (s *Service) check(c *checker) {
	c.count("spec.endpoints", len(s.Spec.Endpoints), 1, maximumEndpoints)
	for i, endpoint := range s.Spec.Endpoints {
		field := fmt.Sprintf("spec.endpoints[%d]", i)
		c.name(field+".zone", endpoint.Zone)
		c.address(field+".address", endpoint.Address)
	}
	c.optionalName("spec.priorityClass", s.Spec.PriorityClass)
	c.count("spec.nonIdempotent", len(s.Spec.NonIdempotent), 0, maximumCalls)
	for i, call := range s.Spec.NonIdempotent {
		field := fmt.Sprintf("spec.nonIdempotent[%d]", i)
		c.require(slices.Contains(callMethods, call.Method), field+".method", quote(call.Method),
			"one of "+strings.Join(callMethods, ", "))
		c.require(strings.HasPrefix(call.PathPrefix, "/"), field+".pathPrefix", quote(call.PathPrefix),
			"a path that starts with /")
	}
}

// checkPaths rejects a version whose path differs from the one first declared for it. Engines hold weights under the
// version's name, so a changed path could let a request run on the wrong weights.
func checkPaths(next *Adapter, current item, retired *retiredPaths) *FieldError {
	previous, _ := current.(*Adapter)
	for i, version := range next.Spec.Versions {
		allowed := retired.allows(next.Name, version)
		if previous != nil {
			if before, ok := previous.Version(version.Name); ok {
				allowed = before.Path == version.Path
			}
		}
		if !allowed {
			return &FieldError{
				Field: fmt.Sprintf("spec.versions[%d].path", i), Value: quote(version.Path),
				Allowed: "the path that was first declared for this version, or a new version name",
			}
		}
	}
	return nil
}

// Conflicts reports whether an operation with the given expected version can never be accepted once the resource has
// had the version current. Versions only increase, so a lower expected version never becomes current again.
func Conflicts(expected, current platform.Offset) bool { return current > expected }
