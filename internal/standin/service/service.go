// Package service is a stand-in for a plain service. It counts how often each call ran, so that a test can check that
// non-idempotent calls ran at most once.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

const (
	maximumBodyBytes = 1 << 20
	// maximumKeys bounds the number of keys in each table of runs.
	maximumKeys = 200_000
)

// Service is a plain service that answers on any path. Its faults are fault.Slow and fault.LostAnswer.
type Service struct {
	name   string
	work   time.Duration
	faults *fault.Registry

	mu     sync.Mutex
	counts Counters
}

// Counters counts the runs of a service.
type Counters struct {
	Runs int `json:"runs"`
	// LostAnswers counts the runs whose answer was dropped by fault.LostAnswer.
	LostAnswers int `json:"lostAnswers"`
	// ByRequest counts the runs of each X-Request-Id.
	ByRequest map[string]int `json:"byRequest"`
	// ByBody counts the runs of each body, by the body's hash in hexadecimal.
	ByBody map[string]int `json:"byBody"`
	// Repeated is the number of bodies that ran more than once. Calls without a body don't count.
	Repeated int `json:"repeated"`
	// Truncated is true when a table was full and further keys were not counted.
	Truncated bool `json:"truncated"`
}

// Answer is the JSON body of an answer.
type Answer struct {
	Service string `json:"service"`
	// Run numbers the runs of this service from 1.
	Run int `json:"run"`
	// RunOfBody numbers the runs of this body from 1; it is 0 for calls without a body.
	RunOfBody int    `json:"runOfBody"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"requestId"`
	BodyHash  string `json:"bodyHash"`
}

// New returns a service on which each call takes the duration work. The name is also the fault target.
func New(name string, work time.Duration, faults *fault.Registry) *Service {
	faults.Declare(name, fault.Slow, fault.LostAnswer)
	return &Service{
		name: name, work: work, faults: faults,
		counts: Counters{ByRequest: make(map[string]int), ByBody: make(map[string]int)},
	}
}

// ServeHTTP runs one call. The run continues when the caller disconnects.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := s.run(r, body)
	timer := time.NewTimer(s.work + s.faults.Delay(s.name))
	defer timer.Stop()
	<-timer.C
	if s.faults.Consume(s.name, fault.LostAnswer) {
		s.mu.Lock()
		s.counts.LostAnswers++
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	write(w, answer)
}

// Counters returns a copy of the counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.counts
	copied.ByRequest = cloneCounts(s.counts.ByRequest)
	copied.ByBody = cloneCounts(s.counts.ByBody)
	return copied
}

// run counts a call and returns its answer.
func (s *Service) run(r *http.Request, body []byte) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	answer := Answer{
		Service: s.name, Run: s.counts.Runs, Method: r.Method, Path: r.URL.Path,
		RequestID: r.Header.Get(vllm.HeaderRequestID),
	}
	if answer.RequestID != "" {
		s.countKey(s.counts.ByRequest, answer.RequestID)
	}
	if len(body) > 0 {
		answer.BodyHash = strconv.FormatUint(xxhash.Sum64(body), 16)
		answer.RunOfBody = s.countKey(s.counts.ByBody, answer.BodyHash)
		if answer.RunOfBody == 2 {
			s.counts.Repeated++
		}
	}
	return answer
}

// countKey counts a run of key and returns the number of its runs, or 0 when the table is full. The caller holds mu.
func (s *Service) countKey(table map[string]int, key string) int {
	if _, known := table[key]; !known && len(table) >= maximumKeys {
		s.counts.Truncated = true
		return 0
	}
	table[key]++
	return table[key]
}

func write(w http.ResponseWriter, answer Answer) {
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func cloneCounts(table map[string]int) map[string]int {
	clone := make(map[string]int, len(table))
	for key, count := range table {
		clone[key] = count
	}
	return clone
}
