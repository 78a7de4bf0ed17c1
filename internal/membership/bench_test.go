package membership

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// responseHead is what net/http sends before the body of a twirp answer on a connection that is closed afterwards.
const responseHead = "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nContent-Type: application/protobuf\r\n" +
	"Date: Thu, 03 Dec 2026 20:00:00 GMT\r\nConnection: close\r\n\r\n"

// headCounter is an HTTP client that counts the bytes of a request's head.
type headCounter struct{ bytes int }

func (h *headCounter) Do(request *http.Request) (*http.Response, error) {
	var head bytes.Buffer
	length := request.ContentLength
	request.Close = true
	_ = request.Write(&head)
	h.bytes = head.Len() - int(length)
	return nil, errors.New("nothing is sent")
}

func requestHeadBytes() int {
	head := &headCounter{}
	_, _ = peerpb.NewMembershipProtobufClient("http://10.100.100.100:7100", head).Exchange(context.Background(), &peerpb.ExchangeRequest{})
	return head.bytes
}

// BenchmarkTraffic measures messages and bytes that a node sends and receives per second, protobuf and HTTP heads
// together, without TCP: when idle, and while every node applies a new configuration every 58 s (1,500 a day) and one
// node restarts in 10 min.
func BenchmarkTraffic(b *testing.B) {
	for _, n := range []int{10, 50, 100, 390} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/busy=%v", n, busy), func(b *testing.B) {
				for b.Loop() {
					measureTraffic(b, n, busy)
				}
			})
		}
	}
}

func measureTraffic(b *testing.B, n int, busy bool) {
	const seconds = 600
	s := newSimulation(n, 1)
	for _, c := range s.nodes {
		c.setApplied(s.now, 100_000)
		c.recordReport(s.now, ProcessReport{
			Process: "g", Role: roleGateway, Address: "10.100.100.100:7000", Applied: 100_000,
		})
		c.recordReport(s.now, ProcessReport{
			Process: "a", Role: roleAPIServer, Address: "10.100.100.100:7001", Applied: 100_000,
		})
	}
	// Reports are renewed by the loop below; the join is over by then.
	applied := uint64(100_000)
	runSecond := func(i int) {
		if busy && i%58 == 0 {
			applied++
		}
		if busy && i == seconds/2 {
			s.start(s.names[n-1])
		}
		for _, c := range s.nodes {
			c.setApplied(s.now, applied)
			c.recordReport(s.now, ProcessReport{
				Process: "g", Role: roleGateway, Address: "10.100.100.100:7000", Applied: applied,
			})
			c.recordReport(s.now, ProcessReport{
				Process: "a", Role: roleAPIServer, Address: "10.100.100.100:7001", Applied: applied,
			})
		}
		s.run(time.Second)
	}
	for range 180 {
		runSecond(1)
	}
	messages, size := 0, 0
	requestHead := requestHeadBytes()
	s.count = func(m proto.Message) {
		messages++
		size += proto.Size(m)
		if _, request := m.(*peerpb.ExchangeRequest); request {
			size += requestHead
		} else {
			size += len(responseHead)
		}
	}
	for i := range seconds {
		runSecond(i)
	}
	// Each message is sent by one node and received by another.
	b.ReportMetric(2*float64(messages)/float64(n)/seconds, "messages/node/s")
	b.ReportMetric(2*float64(size)/float64(n)/seconds, "B/node/s")
	b.ReportMetric(0, "ns/op")
}
