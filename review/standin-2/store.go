package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const partitions = 8

// storeRecord is one record of a keyed topic.
type storeRecord struct {
	key   string
	value []byte
}

// member is a member of the group.
type member struct {
	joinedAt time.Time
	ttl      time.Duration
}

// storeState is all that the store holds.
type storeState struct {
	topics     map[string][]storeRecord
	generation int64
	members    map[string]member
	// owners are the members that hold the partitions, targets those that are to hold them.
	owners, targets [partitions]string
}

// store is a stand-in for the platform's store.
type store struct {
	address string
	rec     *record
	server  *http.Server

	mu      sync.Mutex
	state   storeState
	era     int64
	down    bool
	changed chan struct{}
}

func startStore(rec *record) (*store, error) {
	listener, err := net.Listen("tcp", freeAddress("127.0.0.1"))
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), rec: rec, era: 1, changed: make(chan struct{}),
		state: storeState{topics: map[string][]storeRecord{}, members: map[string]member{}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["newest"], s.serveNewest)
	mux.HandleFunc("GET "+names["read"], s.serveRead)
	mux.HandleFunc("POST "+names["append"], s.serveAppend)
	mux.HandleFunc("POST "+names["join"], s.serveJoin)
	mux.HandleFunc("POST "+names["leave"], s.serveLeave)
	mux.HandleFunc("POST "+names["commit"], func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, object{}) })
	mux.HandleFunc("POST "+names["trim"], func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, object{}) })
	mux.HandleFunc("GET "+names["owners"], s.serveOwners)
	s.server = &http.Server{Handler: s.available(mux)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// available answers 503 while the store is down, and names the era in all answers.
func (s *store) available(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		w.Header().Set(names["era"], strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// setDown takes the store away, or brings it back.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		s.signal()
		s.rec.add("store down: answers 503")
		return
	}
	// The times of the group's members pause while the store is down.
	for name, m := range s.state.members {
		m.joinedAt = time.Now()
		s.state.members[name] = m
	}
	s.rec.add("store serves again, era %d", s.era)
}

// copyAll returns a copy of all that the store holds.
func (s *store) copyAll() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.add("a copy of the store is made")
	copied := s.state
	copied.topics, copied.members = map[string][]storeRecord{}, maps.Clone(s.state.members)
	for topic, records := range s.state.topics {
		copied.topics[topic] = slices.Clone(records)
	}
	return copied
}

// returnFrom brings the store back from a copy, in a new era.
func (s *store) returnFrom(copied storeState) {
	s.mu.Lock()
	s.state = copied
	s.era++
	s.mu.Unlock()
	s.setDown(false)
}

// signal wakes the calls that wait for records. The caller holds s.mu.
func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends a record of the operator or a server; a nil value deletes the key. It returns false while the store is down.
func (s *store) put(topic, key string, value any) bool {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.state.topics[topic] = append(s.state.topics[topic], storeRecord{key, data})
	s.signal()
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

const itemsPerPage = 500

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.state.topics[r.URL.Query().Get("topic")]
	latest := map[string]int{}
	for offset, record := range records {
		latest[record.key] = offset
	}
	items, hasMore := []object{}, false
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		offset := latest[key]
		if key <= r.URL.Query().Get("after") || records[offset].value == nil {
			continue
		}
		if hasMore = len(items) == itemsPerPage; hasMore {
			break
		}
		items = append(items, object{"key": key, "value": records[offset].value, "offset": offset})
	}
	writeJSON(w, object{"items": items, "hasMore": hasMore, "end": len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.state.topics[topic], s.changed
		ended := s.down || w.Header().Get(names["era"]) != strconv.FormatInt(s.era, 10)
		s.mu.Unlock()
		switch {
		case ended:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from > len(records):
			w.WriteHeader(http.StatusGone)
			writeJSON(w, object{"first": 0})
			return
		case from < len(records) || waitMs == 0:
			_, _ = w.Write(encodeRecords(records[from:], len(records)))
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

// encodeRecords encodes the answer to a read.
func encodeRecords(records []storeRecord, end int) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, record := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.key)+len(record.value)))
		data = append(data, byte(len(record.key)))
		data = append(data, record.key...)
		data = append(data, record.value...)
	}
	return data
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == names["operatorTopic"] || topic == names["serversTopic"] {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.state.topics[topic])
	for len(data) > 4 {
		record := data[4 : 4+binary.BigEndian.Uint32(data)]
		data = data[4+len(record):]
		keyEnd := 1 + int(record[0])
		added := storeRecord{key: string(record[1:keyEnd])}
		if keyEnd < len(record) {
			added.value = slices.Clone(record[keyEnd:])
		}
		s.state.topics[topic] = append(s.state.topics[topic], added)
	}
	s.signal()
	writeJSON(w, object{"offset": offset, "end": len(s.state.topics[topic])})
}

// expire removes the members that have sent nothing for their time. The caller holds s.mu.
func (s *store) expire() {
	for name, m := range s.state.members {
		if time.Since(m.joinedAt) > m.ttl {
			s.remove(name)
		}
	}
}

// remove removes a member. The caller holds s.mu.
func (s *store) remove(name string) {
	delete(s.state.members, name)
	for partition, owner := range s.state.owners {
		if owner == name {
			s.state.owners[partition] = ""
		}
	}
	s.deal()
}

// deal distributes the partitions evenly in a new generation. The caller holds s.mu.
func (s *store) deal() {
	s.state.generation++
	members := slices.Sorted(maps.Keys(s.state.members))
	for partition := range partitions {
		s.state.targets[partition] = ""
		if len(members) > 0 {
			s.state.targets[partition] = members[partition%len(members)]
		}
		if s.state.owners[partition] == "" {
			s.state.owners[partition] = s.state.targets[partition]
		}
	}
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Member     string `json:"member"`
		TTLMs      int64  `json:"ttlMs"`
		Generation int64  `json:"generation"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	_, known := s.state.members[call.Member]
	s.state.members[call.Member] = member{time.Now(), time.Duration(call.TTLMs) * time.Millisecond}
	if !known {
		s.deal()
	}
	parts := [][]any{}
	for partition, owner := range s.state.owners {
		target := s.state.targets[partition]
		if owner == call.Member && target != owner && call.Generation >= s.state.generation {
			s.state.owners[partition] = target
		}
		if owner == call.Member && target == owner {
			parts = append(parts, []any{"leases", partition, 0})
		}
	}
	writeJSON(w, object{"generation": s.state.generation, "ttlMs": call.TTLMs, "parts": parts})
}

func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Member string `json:"member"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.state.members[call.Member]; known {
		s.remove(call.Member)
	}
	writeJSON(w, object{})
}

func (s *store) serveOwners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	for partition, owner := range s.state.owners {
		if owner != "" {
			rows = append(rows, []any{"leases", partition, owner, 0})
		}
	}
	writeJSON(w, object{"parts": rows})
}
