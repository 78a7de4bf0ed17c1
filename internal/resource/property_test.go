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
	return resource.Operation{ID: id, Kind: resource.KindPriorityClass, Name: name, ExpectedVersion: expected, Spec: []byte(spec)}
}

func adapter(id, name string, expected platform.Offset, path string) resource.Operation {
	spec := fmt.Sprintf(`{"baseModel":"m","versions":[{"name":"v1","path":%q}],"defaultVersion":"v1"}`, path)
	return resource.Operation{ID: id, Kind: resource.KindAdapter, Name: name, ExpectedVersion: expected, Spec: []byte(spec)}
}

// stream is a log under construction and the reader that has seen all of it.
type stream struct {
	records []platform.Record
	reader  *resource.Reader
}

func (s *stream) append(data []byte) resource.Report {
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

// Guards against two operators who both believe that their change of the same version won, against a loser who
// isn't told the current version, and against a duplicated append that takes effect twice.
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
				before, repeated := original[racer]
				if repeated {
					before.Repeated = true
					if result != before {
						t.Fatalf("repeat says %+v, original %+v", result, before)
					}
					continue
				}
				original[racer] = result
				if result.Outcome == resource.Accepted {
					wins++
				} else if result.Outcome != resource.Conflict || result.Version != log.reader.Machine().View().Version(resource.KindPriorityClass, "c") {
					t.Fatalf("loser learns %+v", result)
				}
			}
			if wins != 1 {
				t.Fatalf("%d winners", wins)
			}
			current = log.reader.Machine().View().Version(resource.KindPriorityClass, "c")
		}
	})
}

// drawStream draws changes of a few resources, mixed with snapshots whose chunks repeat and alternate.
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
			log.operate(resource.Operation{ID: id, Kind: resource.KindAdapter, Name: name, ExpectedVersion: version, Delete: true})
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
	first, err1 := resource.EncodeChunks(id+"a", log.reader.Applied(), snapshot, rapid.IntRange(40, 400).Draw(t, "chunk"))
	second, err2 := resource.EncodeChunks(id+"b", log.reader.Applied(), snapshot, rapid.IntRange(40, 400).Draw(t, "chunk"))
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

// Guards against readers whose states differ because they started at different retained offsets, read in other
// batches, or read records twice; and against a reader that starts from a snapshot with a gap behind it.
func TestReadersFromAnyOffsetAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, snapshots := drawStream(t)
		earliest := rapid.IntRange(1, len(log.records)).Draw(t, "earliest")
		reader := resource.NewReader()
		for at := earliest - 1; at < len(log.records); {
			end := rapid.IntRange(at+1, len(log.records)).Draw(t, "batch end")
			from := rapid.IntRange(earliest-1, at).Draw(t, "read again from")
			before := reader.Applied()
			reader.Apply(log.records[from:end])
			if reader.Applied() < before {
				t.Fatalf("went back from %d to %d", before, reader.Applied())
			}
			at = end
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

// Guards against a replica that returns to older configuration because a peer handed it an older state.
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
			} else if records, kept := peer.Recent(1, upTo); kept {
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

// Guards against a decoder that panics, or accepts what it can't write again, on damaged records.
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

// Guards against a damaged snapshot that panics or is restored at another offset.
func FuzzRestore(f *testing.F) {
	log := &stream{reader: resource.NewReader()}
	log.operate(class("a", "b", 0, 1), adapter("c", "d", 0, "p"))
	f.Add(state(f, log.reader), uint64(1))
	f.Add(state(f, resource.NewReader()), uint64(0))
	f.Add([]byte{0x1f, 0x8b}, uint64(7))
	f.Fuzz(func(t *testing.T, snapshot []byte, asOf uint64) {
		machine, err := resource.Restore(snapshot, platform.Offset(asOf))
		if err == nil && machine.View().Applied != platform.Offset(asOf) {
			t.Fatal("restored at another offset")
		}
	})
}
