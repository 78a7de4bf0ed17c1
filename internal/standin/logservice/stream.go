// Package logservice is a stand-in for the platform's append-only log service.
package logservice

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// maximumReadBytes bounds the data of an answer to a read, and so the reader's memory. One record is always returned.
const maximumReadBytes = 4 << 20

// Retention bounds the age and number of records that a stream retains. Zero means no bound.
type Retention struct {
	Age     time.Duration
	Records int
}

// stream holds the records of one stream that have not passed their retention.
type stream struct {
	earliest platform.Offset
	records  []platform.Record
}

func newStream() *stream { return &stream{earliest: 1} }

func (s *stream) next() platform.Offset { return s.earliest + platform.Offset(len(s.records)) }

func (s *stream) append(data []byte, now time.Time) platform.Offset {
	offset := s.next()
	s.records = append(s.records, platform.Record{Offset: offset, Time: now, Data: data})
	return offset
}

// trim drops records that are past their retention. Offsets are never reused.
func (s *stream) trim(retention Retention, now time.Time) {
	drop := 0
	if retention.Records > 0 {
		drop = max(0, len(s.records)-retention.Records)
	}
	if retention.Age > 0 {
		for drop < len(s.records) && now.Sub(s.records[drop].Time) > retention.Age {
			drop++
		}
	}
	s.earliest += platform.Offset(drop)
	s.records = s.records[drop:]
}

// read returns up to limit records from an offset on. The offset must not be before earliest.
func (s *stream) read(from platform.Offset, limit int) []platform.Record {
	if from >= s.next() {
		return nil
	}
	found := s.records[from-s.earliest:]
	found = found[:min(limit, len(found))]
	bytes := 0
	for i, record := range found {
		bytes += len(record.Data)
		if bytes > maximumReadBytes && i > 0 {
			return found[:i]
		}
	}
	return found
}
