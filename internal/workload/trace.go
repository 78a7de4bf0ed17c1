package workload

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"slices"
)

func sortByArrival(requests []Request) {
	slices.SortStableFunc(requests, func(a, b Request) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		default:
			return 0
		}
	})
}

// Write writes a trace with one JSON object per line.
func Write(w io.Writer, requests []Request) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, request := range requests {
		if err := encoder.Encode(request); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// Read reads a trace in the format of Write.
func Read(r io.Reader) ([]Request, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var requests []Request
	for {
		var request Request
		err := decoder.Decode(&request)
		if errors.Is(err, io.EOF) {
			return requests, nil
		}
		if err != nil {
			return nil, err
		}
		requests = append(requests, request)
	}
}
