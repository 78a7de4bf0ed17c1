package loadqueue

import (
	"encoding/json"
	"errors"
	"slices"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

type recordKind string

const (
	requestRecord   recordKind = "request"
	doneRecord      recordKind = "done"
	withdrawnRecord recordKind = "withdrawn"
	expireRecord    recordKind = "expire"
	// aliveRecord shows that the holder of a running load is alive, since a load may take longer than the silence
	// after which it's expired.
	aliveRecord recordKind = "alive"
)

// record is one entry of the loads stream.
type record struct {
	Kind   recordKind `json:"kind"`
	Holder string     `json:"holder"`
	ID     string     `json:"id,omitempty"`
	// Try tells requests with the same ID apart when an expired request is made again.
	Try     uint64          `json:"try,omitempty"`
	Class   uint32          `json:"class,omitempty"`
	Adapter string          `json:"adapter,omitempty"`
	Version string          `json:"version,omitempty"`
	Server  string          `json:"server,omitempty"`
	Seen    platform.Offset `json:"seen,omitempty"`
	// Request is the offset of the request that a done or expire record ends.
	Request platform.Offset `json:"request,omitempty"`
	// Heard is the offset of the holder's last record that the writer of an expire record has read.
	Heard platform.Offset `json:"heard,omitempty"`
}

// seenHorizon is how many records back Seen may lie. Requests with an older view are dropped, so that acceptances
// beyond it can be forgotten by every reader alike.
const seenHorizon = 8192

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
	try     uint64
	offset  platform.Offset
	running bool
}

// order is the state that every reader computes alike from the records of the stream: the accepted requests in the
// order of their turns, with at most one running.
type order struct {
	items    []*item
	accepted map[string]platform.Offset
	heard    map[string]platform.Offset
	applied  platform.Offset
	earliest platform.Offset
}

func newOrder() *order {
	return &order{accepted: map[string]platform.Offset{}, heard: map[string]platform.Offset{}, earliest: 1}
}

// verdict tells what a request record came to.
type verdict uint8

const (
	accepted verdict = iota + 1
	repeated
	superseded
)

// apply takes the record at an offset. The verdict is set for requests only.
func (o *order) apply(offset platform.Offset, r record) verdict {
	o.applied = offset
	var v verdict
	switch r.Kind {
	case requestRecord:
		v = o.request(offset, r)
	case doneRecord:
		o.remove(func(i *item) bool { return i.offset == r.Request && i.holder == r.Holder })
	case withdrawnRecord:
		o.remove(func(i *item) bool { return i.request.ID == r.ID && i.holder == r.Holder })
	case expireRecord:
		o.expire(r)
	}
	if r.Kind != expireRecord {
		o.heard[r.Holder] = offset
	}
	o.startNext()
	o.prune()
	return v
}

func (o *order) request(offset platform.Offset, r record) verdict {
	if slices.ContainsFunc(o.items, func(i *item) bool { return i.request.ID == r.ID }) {
		return repeated
	}
	name := r.Adapter + "@" + r.Version
	if o.accepted[name] > r.Seen || offset > r.Seen+seenHorizon {
		return superseded
	}
	o.accepted[name] = offset
	request := Request{ID: r.ID, Class: r.Class, Adapter: r.Adapter, Version: r.Version, Server: r.Server, Seen: r.Seen}
	added := &item{request: request, holder: r.Holder, try: r.Try, offset: offset}
	o.items = append(o.items, added)
	slices.SortFunc(o.items, o.compareTurns)
	return accepted
}

const (
	// agedRecords is after how many further records of the stream a request counts as agedClass. A load makes at least
	// two records and takes a third of a second, so that this is about 20 s of a busy weight store. The age is counted
	// in records because every reader then computes the same order.
	agedRecords platform.Offset = 128
	// agedClass is the class next to the urgent one. Without aging, a steady stream of it keeps all lower classes
	// waiting until they are given up on.
	agedClass uint32 = 1
)

// class returns the class by which a request is ordered now. Prefetches don't age.
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

// expire ends a running load and all that its holder waits for, unless the holder has been heard since the writer
// last did. The waiting ones go too, or a dead holder with n of them would block the queue n times.
func (o *order) expire(r record) {
	running := o.running()
	if running == nil || running.offset != r.Request || o.heard[running.holder] > r.Heard {
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

// trim drops requests that have passed their retention, since readers that start now don't know them. Their holders
// request again.
func (o *order) trim(earliest platform.Offset) {
	if earliest <= o.earliest {
		return
	}
	o.earliest = earliest
	o.remove(func(i *item) bool { return i.offset < earliest })
	o.startNext()
}

// prune forgets acceptances and holders that can't matter any more, once per half horizon.
func (o *order) prune() {
	if o.applied%(seenHorizon/2) != 0 || o.applied <= seenHorizon {
		return
	}
	horizon := o.applied - seenHorizon
	for name, offset := range o.accepted {
		if offset < horizon {
			delete(o.accepted, name)
		}
	}
	for holder, offset := range o.heard {
		waits := slices.ContainsFunc(o.items, func(i *item) bool { return i.holder == holder })
		if offset < horizon && !waits {
			delete(o.heard, holder)
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
