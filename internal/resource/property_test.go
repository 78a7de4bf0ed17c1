package resource_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

func class(id, name string, expected platform.Offset, rank int) resource.Operation {
	spec := fmt.Sprintf(`{"rank":%d,"queueLimit":10,"maximumWaitMs":1000}`, rank)
	return resource.Operation{
		ID: id, Kind: resource.KindPriorityClass, Name: name, ExpectedVersion: expected, Spec: []byte(spec),
	}
}

func adapter(id, name string, expected platform.Offset, path string) resource.Operation {
	spec := fmt.Sprintf(`{"baseModel":"m","versions":[{"name":"v1","path":%q}],"defaultVersion":"v1"}`, path)
	return resource.Operation{
		ID: id, Kind: resource.KindAdapter, Name: name, ExpectedVersion: expected, Spec: []byte(spec),
	}
}

// stream is a growing log and a reader that has applied all of it.
type stream struct {
	records []platform.Record
	reader  *resource.Reader
}

func (s *stream) append(data []byte) resource.ApplyReport {
	offset := platform.Offset(len(s.records) + 1)
	record := platform.Record{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data}
	s.records = append(s.records, record)
	return s.reader.Apply([]platform.Record{record})
}

func (s *stream) operate(ops ...resource.Operation) []resource.Result {
	data, err := resource.EncodeOperations(ops)
	if err != nil {
		panic(err)
	}
	return s.append(data).Results
}

func state(t interface{ Fatal(...any) }, reader *resource.Reader) []byte {
	encoded, err := reader.Machine().Capture().Encode()
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// Guards against two operators whose changes of the same version are both accepted, against a conflict that doesn't
// report the current version, and against a duplicated append that takes effect twice.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &stream{reader: resource.NewReader()}
		current := platform.Offset(0)
		for round := range rapid.IntRange(1, 5).Draw(t, "rounds") {
			racers := rapid.IntRange(1, 4).Draw(t, "racers")
			order := rapid.SliceOfN(rapid.IntRange(0, racers-1), racers, 3*racers).Draw(t, "appends")
			original := map[int]resource.Result{}
			wins := 0
			for _, racer := range order {
				result := log.operate(class(fmt.Sprintf("%d-%d", round, racer), "c", current, racer))[0]
				expected, repeated := original[racer]
				if repeated {
					expected.Repeated = true
					if result != expected {
						t.Fatalf("repeat returned %+v, original %+v", result, expected)
					}
					continue
				}
				original[racer] = result
				version := log.reader.Machine().View().Version(resource.KindPriorityClass, "c")
				if result.Outcome == resource.Accepted {
					wins++
				} else if result.Outcome != resource.Conflict || result.Version != version {
					t.Fatalf("rejected operation returned %+v", result)
				}
			}
			if wins != 1 {
				t.Fatalf("%d winners", wins)
			}
			current = log.reader.Machine().View().Version(resource.KindPriorityClass, "c")
		}
	})
}

// drawStream draws changes of a few resources, mixed with snapshots whose chunks are duplicated and interleaved.
func drawStream(t *rapid.T) (*stream, []platform.Offset) {
	log := &stream{reader: resource.NewReader()}
	asOf := make([]platform.Offset, 0)
	for i := range rapid.IntRange(1, 40).Draw(t, "length") {
		id := fmt.Sprintf("op-%d", rapid.IntRange(max(0, i-3), i).Draw(t, "id"))
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
		view := log.reader.Machine().View()
		switch rapid.IntRange(0, 5).Draw(t, "what") {
		case 0:
			log.append([]byte("not a record"))
		case 1:
			path := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "path")
			log.operate(adapter(id, name, view.Version(resource.KindAdapter, name), path))
		case 2:
			version := view.Version(resource.KindAdapter, name)
			log.operate(resource.Operation{
				ID: id, Kind: resource.KindAdapter, Name: name, ExpectedVersion: version, Delete: true,
			})
		case 3, 4:
			expected := view.Version(resource.KindPriorityClass, name)
			log.operate(class(id, name, expected, i), class(id+"x", "b", expected, i))
		case 5:
			asOf = append(asOf, log.reader.Applied())
			drawSnapshotTwice(t, log, fmt.Sprintf("s%d", i))
		}
	}
	return log, asOf
}

func drawSnapshotTwice(t *rapid.T, log *stream, id string) {
	snapshot := state(t, log.reader)
	asOf := log.reader.Applied()
	first, err1 := resource.EncodeChunks(id+"a", asOf, snapshot, rapid.IntRange(40, 400).Draw(t, "chunk"))
	second, err2 := resource.EncodeChunks(id+"b", asOf, snapshot, rapid.IntRange(40, 400).Draw(t, "chunk"))
	if err := errors.Join(err1, err2); err != nil {
		t.Fatal(err)
	}
	for i := range max(len(first), len(second)) {
		if i < len(first) {
			log.append(first[i])
		}
		if i < len(second) {
			log.append(second[i])
		}
	}
}

// Guards against readers whose states differ because they started at different retained offsets, read in different
// batches, or read records twice; and against a reader that starts from a snapshot with a gap after it.
func TestReadersFromAnyOffsetAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, snapshots := drawStream(t)
		earliest := rapid.IntRange(1, len(log.records)).Draw(t, "earliest")
		reader := resource.NewReader()
		for next := earliest - 1; next < len(log.records); {
			end := rapid.IntRange(next+1, len(log.records)).Draw(t, "batch end")
			from := rapid.IntRange(earliest-1, next).Draw(t, "read again from")
			before := reader.Applied()
			reader.Apply(log.records[from:end])
			if reader.Applied() < before {
				t.Fatalf("state moved back from %d to %d", before, reader.Applied())
			}
			next = end
		}
		usable := earliest == 1
		for _, asOf := range snapshots {
			usable = usable || int(asOf) >= earliest-1 && asOf > 0
		}
		if !usable {
			if reader.Applied() != 0 {
				t.Fatalf("applied %d without a usable snapshot", reader.Applied())
			}
			return
		}
		if !bytes.Equal(state(t, reader), state(t, log.reader)) {
			t.Fatal("states differ")
		}
	})
}

// Guards against a replica that reverts to older configuration because a peer sent it an older state.
func TestOlderPeerStateIsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, _ := drawStream(t)
		reader := resource.NewReader()
		for range 3 {
			upTo := rapid.IntRange(0, len(log.records)).Draw(t, "peer applied")
			peer := resource.NewReader()
			peer.Apply(log.records[:upTo])
			before := reader.Applied()
			if rapid.Bool().Draw(t, "by snapshot") {
				if _, _, err := reader.Restore(state(t, peer), peer.Applied()); err != nil {
					t.Fatal(err)
				}
			} else if records, retained := peer.Recent(1, upTo); retained {
				reader.Apply(records)
			}
			if reader.Applied() != max(before, platform.Offset(upTo)) {
				t.Fatalf("at %d after %d and a peer at %d", reader.Applied(), before, upTo)
			}
		}
		reader.Apply(log.records)
		if !bytes.Equal(state(t, reader), state(t, log.reader)) {
			t.Fatal("states differ")
		}
	})
}

// FuzzDecodeRecord guards against a decoder that panics on corrupt records or accepts ones that hold neither operations
// nor a chunk.
func FuzzDecodeRecord(f *testing.F) {
	one, _ := resource.EncodeOperations([]resource.Operation{class("a", "b", 0, 1)})
	two, _ := resource.EncodeOperations([]resource.Operation{class("a", "b", 0, 1), adapter("c", "d", 3, "p")})
	chunks, _ := resource.EncodeChunks("id", 4, []byte("data"), 2)
	for _, seed := range [][]byte{one, two, chunks[0], []byte(`{"operations":[null]}`), []byte(`{"id":"x","kind":"y"}`)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := resource.DecodeRecord(data)
		if err != nil {
			return
		}
		if (len(record.Operations) > 0) == (record.Chunk != nil) {
			t.Fatalf("neither operations nor a chunk: %q", data)
		}
		resource.NewReader().Apply([]platform.Record{{Offset: 1, Data: data}, {Offset: 5, Data: data}})
	})
}

// FuzzRestore guards against a corrupt snapshot that panics or is restored at a wrong offset.
func FuzzRestore(f *testing.F) {
	log := &stream{reader: resource.NewReader()}
	log.operate(class("a", "b", 0, 1), adapter("c", "d", 0, "p"))
	f.Add(state(f, log.reader), uint64(1))
	f.Add(state(f, resource.NewReader()), uint64(0))
	f.Add([]byte{0x1f, 0x8b}, uint64(7))
	f.Fuzz(func(t *testing.T, snapshot []byte, asOf uint64) {
		machine, err := resource.Restore(snapshot, platform.Offset(asOf))
		if err == nil && machine.View().Applied != platform.Offset(asOf) {
			t.Fatal("restored at a wrong offset")
		}
	})
}
