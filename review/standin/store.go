package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// partitions is the number of partitions of a group's topic.
const partitions = 8

// storeRecord is a record of a keyed topic. An empty value drops the key.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's metadata store, by the page PROTOCOL.
type store struct {
	address string
	record  *recorder

	mu      sync.Mutex
	topics  map[string][]storeRecord
	group   *group
	era     int
	away    bool
	changed chan struct{}
}

// storeCopy is a copy of what the store holds.
type storeCopy struct {
	topics  map[string][]storeRecord
	group   *group
	takenAt time.Time
}

func startStore(record *recorder) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), record: record, topics: map[string][]storeRecord{}, group: newGroup(),
		changed: make(chan struct{}), era: 1,
	}
	handlers := map[string]http.HandlerFunc{
		"POST " + wire.Paths.Append: s.serveAppend, "GET " + wire.Paths.Read: s.serveRead,
		"GET " + wire.Paths.Newest: s.serveNewest, "POST " + wire.Paths.Join: s.serveJoin,
		"POST " + wire.Paths.Leave: s.serveLeave, "GET " + wire.Paths.Owners: s.serveOwners,
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			w.Header().Set(wire.Headers.Era, strconv.Itoa(s.era))
			away := s.away
			s.mu.Unlock()
			handler := handlers[r.Method+" "+r.URL.Path]
			switch {
			case away:
				w.WriteHeader(http.StatusServiceUnavailable)
			case handler == nil:
				w.WriteHeader(http.StatusNotFound)
			default:
				handler(w, r)
			}
		}))
	}()
	return s, nil
}

// put appends a record of the operator or of a server, unless the store is away. The return is the acknowledgement.
func (s *store) put(topic, key string, value any) (acknowledged bool) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.append(topic, storeRecord{key, data})
	return true
}

// append appends a record. The caller holds s.mu.
func (s *store) append(topic string, r storeRecord) {
	s.topics[topic] = append(s.topics[topic], r)
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// end returns the offset after the last record of a topic.
func (s *store) end(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

// backUp returns a copy of all that the store holds.
func (s *store) backUp() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := storeCopy{topics: map[string][]storeRecord{}, group: s.group.clone(), takenAt: time.Now()}
	for topic, records := range s.topics {
		kept.topics[topic] = slices.Clone(records)
	}
	return kept
}

// comeBackFrom takes the store away for a moment and brings it back from a copy, in a new era.
func (s *store) comeBackFrom(kept storeCopy, away time.Duration) {
	s.mu.Lock()
	s.away = true
	s.notify()
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.group = kept.topics, kept.group
	s.group.resume(time.Now())
	s.era++
	s.away = false
	s.record.line("store: back after %v from a copy that is %v old, era %d, generation of the group %d, end of the operator's log %d",
		away, time.Since(kept.takenAt).Round(time.Millisecond), s.era, s.group.generation, len(s.topics[wire.Topics.Operator]))
	s.notify()
}

// setAway makes the store refuse all calls, or serve them again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.record.line("store: away %v", away)
	s.notify()
}

// rebalance deals all partitions of the group anew at once.
func (s *store) rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.rebalance()
	s.record.line("store: all partitions dealt anew at once, generation %d", s.group.generation)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	for len(data) > 0 {
		content := data[4 : 4+binary.BigEndian.Uint32(data)]
		data = data[4+len(content):]
		keyEnd := 1 + int(content[0])
		s.append(topic, storeRecord{string(content[1:keyEnd]), slices.Clone(content[keyEnd:])})
	}
	writeJSON(w, object{"offset": offset, "end": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed, away := s.topics[topic], s.changed, s.away
		s.mu.Unlock()
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from > len(records):
			w.WriteHeader(http.StatusGone)
			writeJSON(w, object{"first": 0})
			return
		case from < len(records) || waitMs == 0:
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords returns the answer to a read from an offset of a log whose records are all retained.
func encodeRecords(records []storeRecord, from int) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, r := range records[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(data, r.key...)
		data = append(data, r.value...)
	}
	return data
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := map[string]int{}
	for i, r := range records {
		newest[r.key] = i
	}
	items := []object{}
	for key, i := range newest {
		if len(records[i].value) > 0 {
			items = append(items, object{"key": key, "value": records[i].value, "offset": i})
		}
	}
	writeJSON(w, object{"items": items, "hasMore": false, "end": len(records)})
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Member     string
		TTLMs      int64 `json:"ttlMs"`
		Generation int64
		Topics     []string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.group.join(time.Now(), body.Member, body.Generation, time.Duration(body.TTLMs)*time.Millisecond)
	rows := [][]any{}
	for _, partition := range held {
		rows = append(rows, []any{body.Topics[0], partition, 0})
	}
	writeJSON(w, object{"generation": s.group.generation, "parts": rows})
}

func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var body struct{ Member string }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.leave(body.Member)
	writeJSON(w, object{})
}

func (s *store) serveOwners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.expire(time.Now())
	rows := [][]any{}
	for partition, holder := range s.group.holders {
		rows = append(rows, []any{"leases", partition, holder, 0})
	}
	writeJSON(w, object{"parts": rows})
}

// members returns how many members the group has.
func (s *store) members() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.expire(time.Now())
	return len(s.group.members)
}

func writeJSON(w io.Writer, value any) { _ = json.NewEncoder(w).Encode(value) }
