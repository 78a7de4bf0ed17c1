package loadqueue

import (
	"encoding/json"
	"errors"
	"slices"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

type recordKind string

// Kinds of records.
const (
	requestRecord   recordKind = "request"
	doneRecord      recordKind = "done"
	withdrawnRecord recordKind = "withdrawn"
	expireRecord    recordKind = "expire"
	// heartbeatRecord shows that the holder of a running load is alive, because a load may last longer than the holder
	// timeout.
	heartbeatRecord recordKind = "alive"
)

// record is one entry of the loads stream.
type record struct {
	Kind   recordKind `json:"kind"`
	Holder string     `json:"holder"`
	ID     string     `json:"id,omitempty"`
	// Attempt distinguishes requests with the same ID when an expired request is repeated.
	Attempt uint64 `json:"try,omitempty"`
	Class   uint32 `json:"class,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Server  string `json:"server,omitempty"`
	// AppliedOffset is the last offset that the requester had applied when it decided on the load.
	AppliedOffset platform.Offset `json:"seen,omitempty"`
	// RequestOffset is the offset of the request that a done or expire record ends.
	RequestOffset platform.Offset `json:"request,omitempty"`
	// LastRecord is the offset of the holder's last record that the writer of an expire record has read.
	LastRecord platform.Offset `json:"heard,omitempty"`
}

// dedupHorizon is the maximum number of records between the applied offset of a request and the request itself. Older
// requests are rejected, so that every reader can remove acceptances from before the horizon.
const dedupHorizon = 8192

var errRecord = errors.New("malformed loads record")

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, err
	}
	if r.Kind == "" || r.Holder == "" {
		return record{}, errRecord
	}
	return r, nil
}

// item is an accepted request that has not ended.
type item struct {
	request Request
	holder  string
	attempt uint64
	offset  platform.Offset
	running bool
}

// order is the state that every reader computes identically from the records of the stream: the accepted requests in
// the order of their turns, with at most one running.
type order struct {
	items []*item
	// accepted holds the offset of the last accepted request by adapter version.
	accepted map[string]platform.Offset
	// lastRecords holds the offset of the last record by holder.
	lastRecords map[string]platform.Offset
	applied     platform.Offset
	earliest    platform.Offset
}

func newOrder() *order {
	return &order{accepted: map[string]platform.Offset{}, lastRecords: map[string]platform.Offset{}, earliest: 1}
}

// requestOutcome is the result of applying a request record.
type requestOutcome uint8

const (
	accepted requestOutcome = iota + 1
	duplicate
	superseded
)

// apply applies the record at an offset. The result is set for request records only.
func (o *order) apply(offset platform.Offset, r record) requestOutcome {
	o.applied = offset
	var outcome requestOutcome
	switch r.Kind {
	case requestRecord:
		outcome = o.request(offset, r)
	case doneRecord:
		o.remove(func(i *item) bool { return i.offset == r.RequestOffset && i.holder == r.Holder })
	case withdrawnRecord:
		o.remove(func(i *item) bool { return i.request.ID == r.ID && i.holder == r.Holder })
	case expireRecord:
		o.expire(r)
	}
	if r.Kind != expireRecord {
		o.lastRecords[r.Holder] = offset
	}
	o.startNext()
	o.prune()
	return outcome
}

func (o *order) request(offset platform.Offset, r record) requestOutcome {
	if slices.ContainsFunc(o.items, func(i *item) bool { return i.request.ID == r.ID }) {
		return duplicate
	}
	name := r.Adapter + "@" + r.Version
	if o.accepted[name] > r.AppliedOffset || offset > r.AppliedOffset+dedupHorizon {
		return superseded
	}
	o.accepted[name] = offset
	request := Request{
		ID: r.ID, Class: r.Class, Adapter: r.Adapter, Version: r.Version, Server: r.Server, AppliedOffset: r.AppliedOffset,
	}
	added := &item{request: request, holder: r.Holder, attempt: r.Attempt, offset: offset}
	o.items = append(o.items, added)
	slices.SortFunc(o.items, o.compareTurns)
	return accepted
}

const (
	// agedRecords is the number of further records of the stream after which a request counts as agedClass. A load
	// produces at least two records and lasts a third of a second, so that this is about 20 s of a busy weight store.
	// The age is measured in records so that every reader computes the same order.
	agedRecords platform.Offset = 128
	// agedClass is the class directly below the urgent one. Without aging, a steady stream of loads of this class
	// blocks all lower classes until their requests time out.
	agedClass uint32 = 1
)

// class returns the class by which a request is currently ordered. Prefetches don't age.
func (o *order) class(i *item) uint32 {
	class := i.request.Class
	if class > agedClass && class < PrefetchClass && o.applied-i.offset >= agedRecords {
		return agedClass
	}
	return class
}

// compareTurns orders the running load first, then by class, then by offset. Prefetches have the lowest class, so
// that none starts while a demand load waits.
func (o *order) compareTurns(a, b *item) int {
	classA, classB := o.class(a), o.class(b)
	switch {
	case a.running != b.running && a.running:
		return -1
	case a.running != b.running:
		return 1
	case classA < classB:
		return -1
	case classA > classB:
		return 1
	case a.offset < b.offset:
		return -1
	case a.offset > b.offset:
		return 1
	}
	return 0
}

func (o *order) remove(matches func(*item) bool) {
	o.items = slices.DeleteFunc(o.items, matches)
}

// expire removes a running load and all waiting requests of its holder, unless a record of the holder was appended
// after the last one that the writer of the expire record had read. The waiting requests are removed too, because a
// stopped holder with n of them would otherwise block the queue n times.
func (o *order) expire(r record) {
	running := o.running()
	if running == nil || running.offset != r.RequestOffset || o.lastRecords[running.holder] > r.LastRecord {
		return
	}
	holder := running.holder
	o.remove(func(i *item) bool { return i.holder == holder })
}

func (o *order) running() *item {
	if len(o.items) > 0 && o.items[0].running {
		return o.items[0]
	}
	return nil
}

func (o *order) startNext() {
	if len(o.items) == 0 || o.items[0].running {
		return
	}
	slices.SortFunc(o.items, o.compareTurns)
	o.items[0].running = true
}

// trim removes requests that have passed their retention, because readers that start now can't read them. Their holders
// repeat them.
func (o *order) trim(earliest platform.Offset) {
	if earliest <= o.earliest {
		return
	}
	o.earliest = earliest
	o.remove(func(i *item) bool { return i.offset < earliest })
	o.startNext()
}

// prune removes acceptances and holders that no longer affect the order, once per half horizon.
func (o *order) prune() {
	if o.applied%(dedupHorizon/2) != 0 || o.applied <= dedupHorizon {
		return
	}
	horizon := o.applied - dedupHorizon
	for name, offset := range o.accepted {
		if offset < horizon {
			delete(o.accepted, name)
		}
	}
	for holder, offset := range o.lastRecords {
		waiting := slices.ContainsFunc(o.items, func(i *item) bool { return i.holder == holder })
		if offset < horizon && !waiting {
			delete(o.lastRecords, holder)
		}
	}
}

// pending returns the accepted loads in the order of their turns.
func (o *order) pending() []Pending {
	out := make([]Pending, 0, len(o.items))
	for _, i := range o.items {
		out = append(out, Pending{Request: i.request, Offset: i.offset, Running: i.running})
	}
	return out
}
