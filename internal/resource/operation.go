package resource

import (
	"encoding/json"
	"errors"
	"fmt"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Operation is one conditional change of one resource.
type Operation struct {
	// ID identifies the operation. An operation that is appended twice with the same ID takes effect once.
	ID   string `json:"operationId"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// ExpectedVersion is the version that the resource must have when the record is applied; 0 means that it must not
	// exist.
	ExpectedVersion platform.Offset `json:"expectedVersion"`
	Delete          bool            `json:"delete,omitempty"`
	// Spec is the JSON document of the kind's spec type.
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Outcome is the decision on an operation. It is the same in every process.
type Outcome string

// Outcomes of an operation.
const (
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict"
	Invalid  Outcome = "invalid"
)

// Result is the result of one operation.
type Result struct {
	OperationID string  `json:"operationId"`
	Outcome     Outcome `json:"outcome"`
	// Version is the resource's version: the new one if accepted, otherwise the current one. 0 means that the resource
	// does not exist. After an accepted deletion it is the offset of the deletion.
	Version platform.Offset `json:"version"`
	// Field and Message describe an invalid operation.
	Field   string `json:"field,omitempty"`
	Message string `json:"message,omitempty"`
	// Repeated is true when an earlier record decided the operation.
	Repeated bool `json:"-"`
}

// Record is a decoded record of the config stream: operations, or one chunk of a snapshot.
type Record struct {
	Operations []Operation
	Chunk      *Chunk
}

// recordJSON is the encoding of a record: the fields of one operation, a list of operations, or a snapshot chunk.
type recordJSON struct {
	*Operation
	*Chunk
	Operations []Operation `json:"operations,omitempty"`
}

// EncodeOperations returns a record with one or more operations.
func EncodeOperations(operations []Operation) ([]byte, error) {
	if len(operations) == 1 {
		return json.Marshal(operations[0])
	}
	return json.Marshal(recordJSON{Operations: operations})
}

// DecodeRecord decodes a record of the config stream. Readers ignore a record that can't be decoded.
func DecodeRecord(data []byte) (Record, error) {
	var decoded recordJSON
	if err := DecodeStrict(data, &decoded); err != nil {
		return Record{}, fmt.Errorf("config record: %w", err)
	}
	forms := 0
	record := Record{Operations: decoded.Operations}
	if len(decoded.Operations) > 0 {
		forms++
	}
	if decoded.Operation != nil {
		forms++
		record.Operations = []Operation{*decoded.Operation}
	}
	if decoded.Chunk != nil {
		forms++
		record.Chunk = decoded.Chunk
	}
	if forms != 1 {
		return Record{}, errors.New("config record: holds neither one operation nor a list of operations nor one chunk")
	}
	if record.Chunk != nil {
		return record, record.Chunk.check()
	}
	for _, op := range record.Operations {
		if op.ID == "" || len(op.ID) > maximumOperationIDLength {
			return Record{}, errors.New("config record: operation without a valid operationId")
		}
	}
	return record, nil
}
