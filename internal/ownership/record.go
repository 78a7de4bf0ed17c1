// Package ownership determines which scheduler of a zone owns which backend server, based on the records of the zone's
// stream on the log service. Core is deterministic: its inputs are records, lists of servers, schedulers and VMs, and
// times; its outputs are records to append and events.
package ownership

import (
	"encoding/json"
	"strings"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Holder identifies one incarnation of a scheduler process.
type Holder struct {
	// Node is the name of the VM.
	Node string `json:"node"`
	// Incarnation is a time-ordered identifier that is generated at each start of the process.
	Incarnation string `json:"incarnation"`
	// Address is the ip:port of the scheduler's RPC service.
	Address string `json:"address"`
}

// follows reports whether h is a later incarnation of the scheduler on the same VM.
func (h Holder) follows(earlier Holder) bool {
	return h.Node == earlier.Node && h.Incarnation > earlier.Incarnation
}

// Kind is the kind of a record.
type Kind string

// Kinds of records.
const (
	Claim     Kind = "claim"
	Renewal   Kind = "renewal"
	Release   Kind = "release"
	Intend    Kind = "intent"
	Done      Kind = "done"
	Withdrawn Kind = "withdrawn"
)

// Intent is an eviction that an owner has announced. The owner may send the unload order at any time until it records
// the intent's end.
type Intent struct {
	Load   engine.LoadName      `json:"load"`
	Fence  engine.FencingNumber `json:"fence"`
	Holder Holder               `json:"holder"`
}

// Holding is the entry of one server in a renewal. It repeats the server's state, so that the state survives the
// retention of the records it was derived from.
type Holding struct {
	Server string               `json:"server"`
	Fence  engine.FencingNumber `json:"fence"`
	// Former holds former holders that may still be granting permits.
	Former []Holder `json:"former,omitempty"`
	// Intents holds the open eviction intents.
	Intents []Intent `json:"intents,omitempty"`
}

// Record is one entry of the stream.
type Record struct {
	// ID is unique per append, so that the sender can recognise the record when it is read back.
	ID     string `json:"id"`
	Kind   Kind   `json:"kind"`
	Holder Holder `json:"holder"`
	// Server is set in all kinds but Renewal.
	Server string `json:"server,omitempty"`
	// Seen is the last offset that the claimant had applied when it decided to claim.
	Seen platform.Offset `json:"seen,omitempty"`
	// Replaces is the fencing number that a claim replaces.
	Replaces engine.FencingNumber `json:"replaces,omitempty"`
	// Fence is the sender's fencing number, in Release, Intend, Done and Withdrawn.
	Fence engine.FencingNumber `json:"fence,omitempty"`
	// Load is set in Intend, Done and Withdrawn.
	Load engine.LoadName `json:"load,omitempty"`
	// Holdings is set in Renewal.
	Holdings []Holding `json:"holdings,omitempty"`
}

// Encode returns the record as JSON.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // Unreachable: every field of Record can be encoded as JSON.
	}
	return data
}

// Decode parses a record. It returns an error with code Invalid if the data is not a valid record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, failure.Wrap(err, failure.Invalid, "decode ownership record", "")
	}
	if r.ID == "" || r.Holder.Node == "" || r.Holder.Incarnation == "" {
		return Record{}, failure.New(failure.Invalid, "decode ownership record", "", "id or holder is missing")
	}
	if r.Kind != Renewal && r.Server == "" {
		return Record{}, failure.New(failure.Invalid, "decode ownership record", "", "server is missing")
	}
	return r, nil
}

// isOwn reports whether the record was sent by the given incarnation of a scheduler.
func (r Record) isOwn(self Holder) bool {
	return r.Holder.Incarnation == self.Incarnation && strings.HasPrefix(r.ID, self.Incarnation)
}
