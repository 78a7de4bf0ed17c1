package resource

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

const (
	maximumChunks = 4096
	// maximumStateBytes bounds a decompressed snapshot, so that a corrupt one can't exhaust the memory of a small VM.
	maximumStateBytes = 128 << 20
	// maximumPartials bounds the snapshots that are assembled at the same time. Writers that crash leave incomplete ones.
	maximumPartials = 4
)

// Chunk is one part of a snapshot in the config stream.
type Chunk struct {
	// SnapshotID is unique to each written snapshot.
	SnapshotID string `json:"id"`
	// AsOf is the offset of the last record in the snapshot.
	AsOf  platform.Offset `json:"asOf"`
	Index int             `json:"index"`
	Total int             `json:"total"`
	Data  []byte          `json:"data"`
}

func (c *Chunk) check() error {
	if c.SnapshotID == "" || len(c.SnapshotID) > maximumOperationIDLength {
		return errors.New("snapshot chunk: field \"id\" must have 1 to 64 characters")
	}
	if c.Total < 1 || c.Total > maximumChunks || c.Index < 0 || c.Index >= c.Total {
		return fmt.Errorf("snapshot chunk: index %d of %d; allowed: an index below a total of 1 to %d",
			c.Index, c.Total, maximumChunks)
	}
	if len(c.Data) == 0 {
		return errors.New("snapshot chunk: field \"data\" is empty")
	}
	return nil
}

// EncodeChunks splits a snapshot into records that hold at most chunkBytes bytes of it each.
func EncodeChunks(id string, asOf platform.Offset, snapshot []byte, chunkBytes int) ([][]byte, error) {
	total := (len(snapshot) + chunkBytes - 1) / chunkBytes
	if total > maximumChunks {
		return nil, fmt.Errorf("snapshot of %d bytes needs %d chunks; allowed: %d", len(snapshot), total, maximumChunks)
	}
	records := make([][]byte, 0, total)
	for index := range total {
		part := snapshot[index*chunkBytes : min(len(snapshot), (index+1)*chunkBytes)]
		chunk := Chunk{SnapshotID: id, AsOf: asOf, Index: index, Total: total, Data: part}
		if err := chunk.check(); err != nil {
			return nil, err
		}
		record, err := json.Marshal(chunk)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// stateJSON is the content of a snapshot: everything that the results of later records depend on.
type stateJSON struct {
	Applied    platform.Offset `json:"applied"`
	Objects    []Object        `json:"objects"`
	Operations []Result        `json:"operations"`
	Retired    []RetiredPath   `json:"retired"`
}

// storedObject is the decoded form of Object, with a spec whose type depends on the kind.
type storedObject struct {
	Kind            Kind            `json:"kind"`
	Name            string          `json:"name"`
	ResourceVersion platform.Offset `json:"resourceVersion"`
	Spec            json.RawMessage `json:"spec"`
}

// storedState is the decoded form of stateJSON.
type storedState struct {
	Applied    platform.Offset `json:"applied"`
	Objects    []storedObject  `json:"objects"`
	Operations []Result        `json:"operations"`
	Retired    []RetiredPath   `json:"retired"`
}

// Capture is a state to be encoded as a snapshot. It stays valid while the machine applies further records.
type Capture struct {
	view       *View
	operations []Result
	retired    []RetiredPath
}

// Capture returns the current state. It copies the retained results and retired paths, but not the view.
func (m *Machine) Capture() Capture {
	return Capture{view: m.view, operations: m.results.list(), retired: m.retired.list()}
}

// AsOf returns the offset of the last record in the state.
func (c Capture) AsOf() platform.Offset { return c.view.Applied }

// Encode returns the snapshot: one gzip-compressed JSON document. Equal states give equal bytes.
func (c Capture) Encode() ([]byte, error) {
	state := stateJSON{Applied: c.view.Applied, Operations: c.operations, Retired: c.retired}
	for _, kind := range Kinds() {
		state.Objects = append(state.Objects, c.view.List(kind)...)
	}
	var buffer bytes.Buffer
	compressed := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(compressed).Encode(state); err != nil {
		return nil, err
	}
	if err := compressed.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Restore returns a machine with the state of a snapshot, which must be as of the given offset.
func Restore(snapshot []byte, asOf platform.Offset) (*Machine, error) {
	state, err := decodeState(snapshot)
	if err != nil {
		return nil, fmt.Errorf("snapshot as of %d: %w", asOf, err)
	}
	if state.Applied != asOf {
		return nil, fmt.Errorf("snapshot as of %d holds the state at %d", asOf, state.Applied)
	}
	machine := NewMachine()
	machine.history.completeAfter = asOf
	next := newDraft(machine.view)
	next.view.Applied = asOf
	for _, stored := range state.Objects {
		if err := next.restore(stored); err != nil {
			return nil, fmt.Errorf("snapshot as of %d: %w", asOf, err)
		}
	}
	machine.view = &next.view
	for _, result := range state.Operations {
		machine.results.add(result)
	}
	for _, retired := range state.Retired {
		machine.retired.add(retired)
	}
	return machine, nil
}

func decodeState(snapshot []byte) (storedState, error) {
	decompressed, err := gzip.NewReader(bytes.NewReader(snapshot))
	if err != nil {
		return storedState{}, err
	}
	data, err := io.ReadAll(io.LimitReader(decompressed, maximumStateBytes+1))
	if err != nil {
		return storedState{}, err
	}
	if len(data) > maximumStateBytes {
		return storedState{}, fmt.Errorf("more than %d bytes", maximumStateBytes)
	}
	var state storedState
	if err := DecodeStrict(data, &state); err != nil {
		return storedState{}, err
	}
	return state, nil
}

// restore adds a stored object to the draft. It does not check the spec's values: they were accepted when their record
// was applied, possibly by rules that have changed since.
func (d *draft) restore(stored storedObject) error {
	if !stored.Kind.Valid() || stored.ResourceVersion == 0 || stored.ResourceVersion > d.view.Applied {
		return fmt.Errorf("object %s/%s at version %d is not valid", stored.Kind, stored.Name, stored.ResourceVersion)
	}
	parsed, fieldErr := decodeSpec(stored.Kind, stored.Name, stored.Spec)
	if fieldErr != nil {
		return fmt.Errorf("object %s/%s: %w", stored.Kind, stored.Name, fieldErr)
	}
	parsed.meta().ResourceVersion = stored.ResourceVersion
	d.put(stored.Kind, stored.Name, parsed)
	return nil
}

// assembler joins the chunks of snapshots. Chunks of several snapshots may be interleaved and repeated.
type assembler struct {
	partials []*partial
}

// partial is a snapshot of which some chunks are missing.
type partial struct {
	id        string
	asOf      platform.Offset
	startedAt time.Time
	parts     [][]byte
	missing   int
}

// add returns the snapshot that the chunk completes and the log's timestamp of its first chunk, or nil.
func (a *assembler) add(chunk *Chunk, appendedAt time.Time) ([]byte, time.Time) {
	p := a.find(chunk, appendedAt)
	if p == nil || p.parts[chunk.Index] != nil {
		return nil, time.Time{}
	}
	p.parts[chunk.Index] = chunk.Data
	p.missing--
	if p.missing > 0 {
		return nil, time.Time{}
	}
	a.remove(p)
	return bytes.Join(p.parts, nil), p.startedAt
}

// find returns the partial snapshot of the chunk, or nil when the chunk contradicts earlier ones.
func (a *assembler) find(chunk *Chunk, appendedAt time.Time) *partial {
	for _, p := range a.partials {
		if p.id != chunk.SnapshotID {
			continue
		}
		if p.asOf != chunk.AsOf || len(p.parts) != chunk.Total {
			return nil
		}
		return p
	}
	p := &partial{
		id: chunk.SnapshotID, asOf: chunk.AsOf, startedAt: appendedAt,
		parts: make([][]byte, chunk.Total), missing: chunk.Total,
	}
	if len(a.partials) == maximumPartials {
		a.partials = a.partials[1:]
	}
	a.partials = append(a.partials, p)
	return p
}

func (a *assembler) remove(removed *partial) {
	remaining := make([]*partial, 0, maximumPartials)
	for _, p := range a.partials {
		if p != removed {
			remaining = append(remaining, p)
		}
	}
	a.partials = remaining
}
