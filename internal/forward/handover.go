package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

// Headers between nodes. They never reach servers, and callers can't set them.
const (
	// headerPeerCaller is the caller's address without the port.
	headerPeerCaller = "Waxwing-Caller"
	// headerPeerRemaining is the time until the deadline, in milliseconds; it is missing without one.
	headerPeerRemaining = "Waxwing-Remaining-Ms"
	// headerPeerCustomer is the name of the request's customer; it is missing without one.
	headerPeerCustomer = "Waxwing-Customer"
	// headerPeerAttempts and headerPeerSends are the attempts of the request, and those of its sends that reached servers;
	// missing for none.
	headerPeerAttempts = "Waxwing-Attempts"
	headerPeerSends    = "Waxwing-Sends"
	// headerNotTaken marks the answer of a node that didn't take the request, which thus has not run.
	headerNotTaken = "Waxwing-Not-Taken"
)

const (
	// maximumHandovers bounds the nodes to which one request is passed.
	maximumHandovers = 2
	// maximumTaken bounds the requests of other nodes that a node processes at once.
	maximumTaken = 256
	// copyBufferBytes is the size of the buffer for an answer of another node.
	copyBufferBytes = 16 << 10
)

// Peers chooses the other nodes of the site that take requests.
type Peers interface {
	// Choose returns the address of a node that probably reaches one of the servers, empty if there is none.
	Choose(servers []string, tried map[string]bool) (peer string)
	// NotTaken records that a node didn't take a request.
	NotTaken(peer string)
}

// IsHandedOver reports whether a request was passed on by another node.
func IsHandedOver(r *http.Request) bool { return r.Header.Get(headerPeerCaller) != "" }

// RefuseHandover answers a request of another node that this one doesn't take.
func RefuseHandover(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotTaken, "1")
	w.WriteHeader(status)
}

// ServePeer serves a request that another node passed on because it can't reach the servers.
func (f *Forwarder) ServePeer(w http.ResponseWriter, r *http.Request) {
	taken := f.taken.Add(1)
	defer f.taken.Add(-1)
	if taken > maximumTaken || f.draining.Load() || f.current.Load() == nil {
		f.options.Events.Emit(event.HandoverRefused, event.Fields{"peer": r.RemoteAddr, "taken": taken})
		RefuseHandover(w, http.StatusServiceUnavailable)
		return
	}
	j := f.newJob(w, r)
	j.fromPeer, j.caller, j.peerCustomer = true, r.Header.Get(headerPeerCaller), r.Header.Get(headerPeerCustomer)
	if remaining, err := strconv.ParseInt(r.Header.Get(headerPeerRemaining), 10, 64); err == nil {
		j.peerRemaining = time.Duration(max(remaining, 1)) * time.Millisecond
	}
	j.attempts, j.sends = peerCount(r.Header, headerPeerAttempts), peerCount(r.Header, headerPeerSends)
	removePeerHeaders(r.Header)
	j.handle()
}

// peerCount returns the count in a header of another node. What can't be read counts as none.
func peerCount(header http.Header, name string) int {
	count, err := strconv.Atoi(header.Get(name))
	if err != nil {
		return 0
	}
	return min(max(count, 0), maximumSends)
}

// removePeerHeaders removes the headers between nodes, which callers can't set and servers don't get.
func removePeerHeaders(header http.Header) {
	header.Del(headerPeerCaller)
	header.Del(headerPeerRemaining)
	header.Del(headerPeerCustomer)
	header.Del(headerPeerAttempts)
	header.Del(headerPeerSends)
}

// Taken returns the number of requests of other nodes in progress.
func (f *Forwarder) Taken() int64 { return f.taken.Load() }

// unreachable returns the IDs of the servers that this node can't reach, and whether there are no others to choose.
func unreachable(candidates []serverview.Candidate) (ids []string, all bool) {
	all = true
	for _, c := range candidates {
		switch {
		case c.Unreachable:
			ids = append(ids, c.ID)
		case !c.Leaving:
			all = false
		}
	}
	return ids, all && len(ids) > 0
}

// handOver passes the request to another node that reaches one of the servers. It returns true once the caller has its
// final answer, false if no node has taken the request.
func (j *job) handOver(servers []string) (done bool) {
	if j.fromPeer || j.attempts > 0 && !j.repeatable() || len(servers) == 0 {
		return false
	}
	tried := make(map[string]bool)
	for range maximumHandovers {
		peer := j.f.options.Peers.Choose(servers, tried)
		if peer == "" || j.ctx.Err() != nil {
			return false
		}
		tried[peer] = true
		if j.handOverTo(peer) {
			return true
		}
		j.f.options.Peers.NotTaken(peer)
	}
	return false
}

// handOverTo passes the request to a node. It returns false if the node didn't take it.
func (j *job) handOverTo(peer string) (done bool) {
	// The node that sends the request to a server charges the quota.
	j.giveBackQuota()
	header := j.f.options.Wire.PeerHeader(j.r.Header, j.authenticated)
	header.Set(headerPeerCaller, j.caller)
	if j.customer != nil {
		header.Set(headerPeerCustomer, j.customer.Name)
	}
	if arrived := j.sends - j.unsent; arrived > 0 {
		header.Set(headerPeerAttempts, strconv.Itoa(j.attempts))
		header.Set(headerPeerSends, strconv.Itoa(arrived))
	}
	if remaining := j.remaining(); remaining > 0 {
		header.Set(headerPeerRemaining, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	}
	trace := &upstream.RequestTrace{}
	ctx := trace.WithTrace(j.ctx, func() bool { return true })
	answer, err := j.f.options.PeerTransport.RoundTrip(j.outgoing(peer, header).WithContext(ctx))
	if err != nil {
		err = failure.Wrap(err, failure.Unavailable, "hand over request", peer)
		j.f.options.Events.EmitError(event.HandoverFailed, err, event.Fields{"request": j.request.ID, "mayHaveRun": trace.Written()})
		if !trace.Written() {
			return false
		}
		return j.handoverBroken(peer)
	}
	defer answer.Body.Close()
	info := j.f.options.Wire.DecodeAnswer(answer)
	// A node of a build that doesn't take requests of others answers that it doesn't know the path.
	if answer.Header.Get(headerNotTaken) != "" || isUnknownPath(answer, info) {
		j.f.options.Events.Emit(event.HandoverFailed, event.Fields{
			"request": j.request.ID, "peer": peer, "status": answer.StatusCode, "mayHaveRun": false,
		})
		return false
	}
	// A node that takes a request names it in the answer, whether it comes from a server or from the node itself.
	if info.RequestID != j.request.ID {
		j.refuseOutcomeUnknown(http.StatusBadGateway, "the other node's answer belongs to another request")
		return true
	}
	if info.NotRun && j.attempts > 0 {
		j.inputs = event.Fields{"peer": peer, "status": answer.StatusCode}
		j.refuseOutcomeUnknown(http.StatusBadGateway, "the other node refused the request")
		return true
	}
	j.f.metrics.handedOver.Inc(1)
	upstream.VerifyEnd(answer, j.expectedType(answer.StatusCode))
	j.copyFromPeer(peer, answer)
	return true
}

// isUnknownPath reports whether an answer of another node is that of its HTTP server to a path or method that it doesn't serve.
func isUnknownPath(answer *http.Response, info serving.AnswerInfo) bool {
	unknown := answer.StatusCode == http.StatusNotFound || answer.StatusCode == http.StatusMethodNotAllowed
	return unknown && info.RequestID == "" && !info.HasDigest
}

// handoverBroken answers a request that a node took and didn't answer; it may have run.
func (j *job) handoverBroken(peer string) bool {
	if j.r.Context().Err() != nil {
		j.log(event.RequestRefused, ReasonCallerLeft, nil, event.Fields{"peer": peer})
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	if j.ctx.Err() != nil {
		status = http.StatusGatewayTimeout
	}
	j.inputs = event.Fields{"peer": peer}
	j.refuseOutcomeUnknown(status, ReasonNoPeerAnswer)
	return true
}

// copyFromPeer passes the answer of another node to the caller as it arrives. If it breaks off, so does the caller's.
func (j *job) copyFromPeer(peer string, answer *http.Response) {
	j.copyHeader(answer)
	if answer.ContentLength >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	j.w.WriteHeader(answer.StatusCode)
	fields := event.Fields{"request": j.request.ID, "peer": peer, "status": answer.StatusCode, "zone": j.f.options.Zone}
	err := copyAndFlush(j.w, answer.Body)
	fields["ms"] = time.Since(j.arrived).Milliseconds()
	if err != nil {
		j.f.options.Events.EmitError(event.RequestHandedOver, err, fields)
		panic(http.ErrAbortHandler)
	}
	j.f.options.Events.Emit(event.RequestHandedOver, fields)
}

// copyAndFlush copies a body and flushes after each read, so that events pass as they arrive.
func copyAndFlush(w http.ResponseWriter, body io.Reader) error {
	controller, buffer := http.NewResponseController(w), make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return failure.Wrap(err, failure.Unavailable, "write answer", "caller")
			}
			if err := controller.Flush(); err != nil {
				return failure.Wrap(err, failure.Unavailable, "flush answer", "caller")
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return failure.Wrap(err, failure.Unavailable, "read answer of other node", "")
		}
	}
}
