package logservice

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

const (
	defaultReadRecords = 512
	maximumWait        = 30 * time.Second
	maximumAppendBytes = 8 << 20
)

// Service simulates the log service. Its faults are fault.Outage, fault.Slow and fault.LostAnswer.
type Service struct {
	faults    *fault.Registry
	now       func() time.Time
	retention Retention
	limiter   *rate.Limiter

	mu          sync.Mutex
	streams     map[platform.Stream]*stream
	changed     chan struct{}
	appends     int
	limited     int
	lostAnswers int
}

// Options configures a Service.
type Options struct {
	Retention Retention
	// AppendsPerSecond and Burst limit the appends over all streams.
	AppendsPerSecond float64
	Burst            int
	// Now returns the service's time.
	Now func() time.Time
}

// Counters counts the service's events.
type Counters struct {
	Appends int `json:"appends"`
	// Limited counts appends refused by the rate limit.
	Limited int `json:"limited"`
	// LostAnswers counts appends that took effect without an answer.
	LostAnswers int `json:"lostAnswers"`
	// Records is the number of retained records by stream.
	Records map[platform.Stream]int `json:"records"`
}

// New returns an empty log service.
func New(options Options, faults *fault.Registry) *Service {
	return &Service{
		faults:    faults,
		now:       options.Now,
		retention: options.Retention,
		limiter:   rate.NewLimiter(rate.Limit(options.AppendsPerSecond), options.Burst),
		streams:   make(map[platform.Stream]*stream),
		changed:   make(chan struct{}),
	}
}

// Handler returns an HTTP handler that applies the faults of all the targets. One target can cover all callers of the
// service and another only the callers of one zone.
func (s *Service) Handler(targets ...string) http.Handler {
	for _, target := range targets {
		s.faults.Declare(target, fault.Outage, fault.Slow, fault.LostAnswer)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}/append", func(w http.ResponseWriter, r *http.Request) { s.append(w, r, targets) })
	mux.HandleFunc("GET /log/{stream}/read", func(w http.ResponseWriter, r *http.Request) { s.read(w, r, targets) })
	return mux
}

// Counters returns the current counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := Counters{
		Appends: s.appends, Limited: s.limited, LostAnswers: s.lostAnswers, Records: make(map[platform.Stream]int),
	}
	for name, stream := range s.streams {
		counters.Records[name] = len(stream.records)
	}
	return counters
}

func (s *Service) append(w http.ResponseWriter, r *http.Request, targets []string) {
	if !s.available(w, r, targets) {
		return
	}
	var request httplog.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumAppendBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.limiter.Allow() {
		s.count(&s.limited)
		http.Error(w, "append rate limit reached, the record was not taken", http.StatusTooManyRequests)
		return
	}
	offset := s.store(platform.Stream(r.PathValue("stream")), request.Data)
	if s.consumeFault(targets, fault.LostAnswer) {
		s.count(&s.lostAnswers)
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, httplog.AppendResponse{Offset: offset})
}

func (s *Service) read(w http.ResponseWriter, r *http.Request, targets []string) {
	if !s.available(w, r, targets) {
		return
	}
	name := platform.Stream(r.PathValue("stream"))
	from, err := strconv.ParseUint(r.URL.Query().Get(httplog.ParamFrom), 10, 64)
	if err != nil || from == 0 {
		http.Error(w, "from must be an offset of at least 1", http.StatusBadRequest)
		return
	}
	limit, wait := readParameters(r)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		changed, faultsChanged := s.changes(), s.faults.Changed()
		if s.inOutage(targets) {
			outage(w)
			return
		}
		answer := s.lookup(name, platform.Offset(from), limit)
		if answer.Earliest > platform.Offset(from) {
			writeJSON(w, http.StatusGone, answer)
			return
		}
		if len(answer.Records) > 0 || expired {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func readParameters(r *http.Request) (limit int, wait time.Duration) {
	limit, err := strconv.Atoi(r.URL.Query().Get(httplog.ParamMax))
	if err != nil || limit < 1 {
		limit = defaultReadRecords
	}
	waitMs, _ := strconv.Atoi(r.URL.Query().Get(httplog.ParamWaitMs))
	return limit, min(max(0, time.Duration(waitMs)*time.Millisecond), maximumWait)
}

// available applies delays and outages to a call, and reports whether the call may proceed.
func (s *Service) available(w http.ResponseWriter, r *http.Request, targets []string) bool {
	for _, target := range targets {
		delay := s.faults.Delay(target)
		if delay == 0 {
			continue
		}
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return false
		}
	}
	if s.consumeFault(targets, fault.Outage) {
		outage(w)
		return false
	}
	return true
}

func outage(w http.ResponseWriter) {
	http.Error(w, "log service outage", http.StatusServiceUnavailable)
}

// inOutage reports whether any of the targets has an outage, without counting a call.
func (s *Service) inOutage(targets []string) bool {
	for _, target := range targets {
		if s.faults.Active(target, fault.Outage) {
			return true
		}
	}
	return false
}

// consumeFault reports whether a fault of any target affects the current call, and counts the call.
func (s *Service) consumeFault(targets []string, kind fault.Kind) bool {
	for _, target := range targets {
		if s.faults.Consume(target, kind) {
			return true
		}
	}
	return false
}

// store appends a record and wakes the waiting reads.
func (s *Service) store(name platform.Stream, data []byte) platform.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.stream(name).append(data, s.now())
	s.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// lookup reads up to limit records from an offset on. The answer's Earliest is above from when records have been
// trimmed.
func (s *Service) lookup(name platform.Stream, from platform.Offset, limit int) httplog.ReadResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.stream(name)
	answer := httplog.ReadResponse{Earliest: stream.earliest, Next: stream.next(), Records: []httplog.RecordBody{}}
	if from < stream.earliest {
		return answer
	}
	for _, record := range stream.read(from, limit) {
		answer.Records = append(answer.Records, httplog.RecordBody{
			Offset: record.Offset, TimeMs: record.Time.UnixMilli(), Data: record.Data,
		})
	}
	return answer
}

// stream returns a stream trimmed to its retention. The caller holds mu.
func (s *Service) stream(name platform.Stream) *stream {
	found, ok := s.streams[name]
	if !ok {
		found = newStream()
		s.streams[name] = found
	}
	found.trim(s.retention, s.now())
	return found
}

// changes returns a channel that is closed at the next append.
func (s *Service) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Service) count(counter *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
