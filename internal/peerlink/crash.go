package peerlink

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
)

// Times in these messages are relative to the moment of sending, as the clocks of nodes differ.

// ServerEnd reports that a server ended while requests waited for the beginning of their answers there.
type ServerEnd struct {
	ServerID   string    `json:"s"`
	Born       int64     `json:"b,omitempty"`
	EndedAgoMs int64     `json:"e"`
	Suspects   []Suspect `json:"p"`
}

// Suspect is a part of the prompt of such a request.
type Suspect struct {
	Part       string `json:"p"`
	Depth      int    `json:"d,omitempty"`
	BegunAgoMs int64  `json:"b"`
	// Ends is the number of ends that the sender counts for the part, the first of them FirstAgoMs ago.
	Ends       int   `json:"n,omitempty"`
	FirstAgoMs int64 `json:"f,omitempty"`
}

// BlockedPart is a part with which no requests are sent to servers.
type BlockedPart struct {
	Part  string `json:"p"`
	AgoMs int64  `json:"a"`
	// FirstAgoMs is how long ago the first of the servers ended that led to the block.
	FirstAgoMs int64 `json:"f"`
	Level      int   `json:"l,omitempty"`
	// TrialInMs and LapsesInMs are the times until the next trial and until the block lapses.
	TrialInMs  int64 `json:"t"`
	LapsesInMs int64 `json:"e"`
	// Ends holds the servers that ended under requests with the part.
	Ends []EndedServer `json:"s,omitempty"`
}

// EndedServer identifies a run of a server.
type EndedServer struct {
	ServerID string `json:"s"`
	Born     int64  `json:"b,omitempty"`
}

// AcquittedPart is a part with which a request was answered, or whose block an operator has lifted.
type AcquittedPart struct {
	Part  string `json:"p"`
	AgoMs int64  `json:"a"`
}

// NewServerEnd encodes a report.
func NewServerEnd(now time.Time, report crashguard.Report) ServerEnd {
	end := ServerEnd{
		ServerID: report.Server.ServerID, Born: report.Server.Born, EndedAgoMs: now.Sub(report.EndedAt).Milliseconds(),
	}
	for _, s := range report.Suspects {
		end.Suspects = append(end.Suspects, Suspect{
			Part: s.Part, Depth: s.Depth, BegunAgoMs: now.Sub(s.BegunAt).Milliseconds(), Ends: s.Ends,
			FirstAgoMs: now.Sub(s.FirstEndAt).Milliseconds(),
		})
	}
	return end
}

// Decode returns the report that was received at a time.
func (e ServerEnd) Decode(now time.Time) crashguard.Report {
	report := crashguard.Report{
		Server: crashguard.Incarnation{ServerID: e.ServerID, Born: e.Born}, EndedAt: ago(now, e.EndedAgoMs),
	}
	for _, s := range e.Suspects {
		report.Suspects = append(report.Suspects, crashguard.Suspect{
			Part: s.Part, Depth: s.Depth, BegunAt: ago(now, s.BegunAgoMs), Ends: s.Ends, FirstEndAt: ago(now, s.FirstAgoMs),
		})
	}
	return report
}

// NewBlockedPart encodes a block.
func NewBlockedPart(now time.Time, block crashguard.Block) BlockedPart {
	blocked := BlockedPart{
		Part: block.Part, AgoMs: now.Sub(block.At).Milliseconds(),
		FirstAgoMs: now.Sub(block.FirstEndAt).Milliseconds(), Level: block.Level,
		TrialInMs: block.TrialAt.Sub(now).Milliseconds(), LapsesInMs: block.LapsesAt.Sub(now).Milliseconds(),
	}
	for _, end := range block.Ends {
		blocked.Ends = append(blocked.Ends, EndedServer(end))
	}
	return blocked
}

// Decode returns the block that was received at a time.
func (b BlockedPart) Decode(now time.Time) crashguard.Block {
	block := crashguard.Block{
		Part: b.Part, At: ago(now, b.AgoMs), FirstEndAt: ago(now, b.FirstAgoMs), Level: b.Level, TrialAt: ago(now, -b.TrialInMs),
		LapsesAt: ago(now, -b.LapsesInMs),
	}
	for _, end := range b.Ends {
		block.Ends = append(block.Ends, crashguard.Incarnation(end))
	}
	return block
}

// NewAcquittedPart encodes an acquittal.
func NewAcquittedPart(now time.Time, acquittal crashguard.Acquittal) AcquittedPart {
	return AcquittedPart{Part: acquittal.Part, AgoMs: now.Sub(acquittal.At).Milliseconds()}
}

// Decode returns the acquittal that was received at a time.
func (a AcquittedPart) Decode(now time.Time) crashguard.Acquittal {
	return crashguard.Acquittal{Part: a.Part, At: ago(now, a.AgoMs)}
}

func ago(now time.Time, milliseconds int64) time.Time {
	return now.Add(-time.Duration(milliseconds) * time.Millisecond)
}
