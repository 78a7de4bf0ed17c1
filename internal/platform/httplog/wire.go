package httplog

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Query parameters of a read.
const (
	ParamFrom   = "from"
	ParamMax    = "max"
	ParamWaitMs = "waitMs"
)

// VMsPath is the path of the VM list.
const VMsPath = "/vms"

// AppendRequest is the body of an append. Data is base64 in JSON.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendResponse is the body of the response to an append.
type AppendResponse struct {
	Offset platform.Offset `json:"offset"`
}

// RecordBody is one record in the response to a read.
type RecordBody struct {
	Offset platform.Offset `json:"offset"`
	// TimeMs is the log service's timestamp of the append, in milliseconds since the Unix epoch.
	TimeMs int64  `json:"timeMs"`
	Data   []byte `json:"data"`
}

// ReadResponse is the body of the response to a read. With status 410 only Earliest and Next are set.
type ReadResponse struct {
	Earliest platform.Offset `json:"earliest"`
	Next     platform.Offset `json:"next"`
	Records  []RecordBody    `json:"records"`
}

// VMsResponse is the body of the response to GET /vms.
type VMsResponse struct {
	VMs []platform.VM `json:"vms"`
}

// AppendPath returns the path for appends to stream.
func AppendPath(stream platform.Stream) string { return streamPath(stream) + "/append" }

// ReadPath returns the path for reads of stream, without the query.
func ReadPath(stream platform.Stream) string { return streamPath(stream) + "/read" }

func streamPath(stream platform.Stream) string { return "/log/" + url.PathEscape(string(stream)) }

func readQuery(from platform.Offset, wait time.Duration) string {
	values := url.Values{}
	values.Set(ParamFrom, strconv.FormatUint(uint64(from), 10))
	values.Set(ParamMax, strconv.Itoa(maximumRecords))
	values.Set(ParamWaitMs, strconv.FormatInt(wait.Milliseconds(), 10))
	return values.Encode()
}

// parseRead decodes the answer to a read that starts at from. It rejects inconsistent offsets: records that don't
// follow from without gaps, or lie outside the range from earliest to next.
func parseRead(body []byte, from platform.Offset) (platform.Batch, error) {
	var answer ReadResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return platform.Batch{}, err
	}
	if answer.Earliest < 1 || answer.Next < answer.Earliest {
		return platform.Batch{}, fmt.Errorf("earliest %d and next %d are out of order", answer.Earliest, answer.Next)
	}
	batch := platform.Batch{Earliest: answer.Earliest, Next: answer.Next}
	expected := from
	for _, record := range answer.Records {
		if record.Offset != expected || record.Offset < answer.Earliest || record.Offset >= answer.Next {
			return platform.Batch{}, fmt.Errorf("record has offset %d, expected %d within [%d, %d)",
				record.Offset, expected, answer.Earliest, answer.Next)
		}
		batch.Records = append(batch.Records, platform.Record{
			Offset: record.Offset, Time: time.UnixMilli(record.TimeMs), Data: record.Data,
		})
		expected++
	}
	return batch, nil
}

// parseTrimmed decodes the answer with status 410. It rejects an earliest offset that isn't after from, because that
// would make a follower read the same offset forever.
func parseTrimmed(body []byte, stream platform.Stream, from platform.Offset) error {
	var answer ReadResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return err
	}
	if answer.Earliest <= from {
		return failure.New(failure.Invalid, stepRead, "",
			fmt.Sprintf("offset %d reported as trimmed, but earliest is %d", from, answer.Earliest))
	}
	return &platform.TrimmedError{Stream: stream, From: from, Earliest: answer.Earliest}
}
