package storewatch

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// NewsPeriod is for how long digests carry a change, so that the loss of one does no harm.
const NewsPeriod = time.Second

// OperatorNews is the declared versions among the operators' records of an interval in which no other records lie. A
// node that has read up to From has thereby read up to the offset of the digest that came with it.
type OperatorNews struct {
	From     int64
	Versions []serving.AdapterVersion
}

// OperatorHistory is what a reader read of the operators' records lately. It isn't safe for concurrent use.
type OperatorHistory struct {
	reads []operatorRead
	next  int64
}

type operatorRead struct {
	from     int64
	at       time.Time
	versions []serving.AdapterVersion
}

// Add notes a read up to an offset. whole is false for a read that began at no known offset.
func (h *OperatorHistory) Add(now time.Time, batch serving.OperatorBatch, whole bool) {
	from, next := h.next, batch.Next.Offset
	h.next = next
	if !whole || next < from || len(batch.Configurations) > 0 || len(batch.Invalid) > 0 {
		h.reads = nil
		return
	}
	if next > from {
		h.reads = append(h.reads, operatorRead{from: from, at: now, versions: batch.Versions})
	}
}

// News returns what was declared within NewsPeriod, or since the latest configuration.
func (h *OperatorHistory) News(now time.Time) OperatorNews {
	for len(h.reads) > 0 && now.Sub(h.reads[0].at) > NewsPeriod {
		h.reads = h.reads[1:]
	}
	news := OperatorNews{From: h.next}
	for i, read := range h.reads {
		if i == 0 {
			news.From = read.from
		}
		news.Versions = append(news.Versions, read.versions...)
	}
	return news
}
