package forward

import (
	"net/http"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Notices learns what servers say about themselves in their answers.
type Notices interface {
	// Observe applies a notice in the answer to a request that was sent at sentAt. What the notice doesn't name has ended only
	// if the answer is conclusive.
	Observe(server serverview.Candidate, notice serving.ServerNotice, sentAt time.Time, conclusive bool)
	// Sending records a send to a server.
	Sending(server serverview.Candidate, way SendWay)
}

// SendWay is how a send came about.
type SendWay string

// The ways.
const (
	FirstSend    SendWay = "first"
	AssignedSend SendWay = "assigned"
	RepeatedSend SendWay = "repeated"
	ResumingSend SendWay = "resuming"
	TakenSend    SendWay = "taken"
)

// sendWay returns how the next send that doesn't resume a stream comes about.
func (j *job) sendWay() SendWay {
	switch {
	case j.fromPeer:
		return TakenSend
	case j.sends > 0:
		return RepeatedSend
	case j.slot.Server != "":
		return AssignedSend
	}
	return FirstSend
}

// serverAllows reports whether a request may still be written to a server, by what that has said about itself.
func (j *job) serverAllows(server crashguard.Incarnation) bool {
	return j.f.options.View.MaySend(time.Now(), server.ServerID, server.Born, j.arrived)
}

// isBarred reports whether the server that was chosen for the request has begun to leave or rest since, so that another one is
// to be chosen.
func (j *job) isBarred(candidate serverview.Candidate) bool {
	return !candidate.Leaving && !j.f.options.View.InUse(time.Now(), candidate.ID) || !j.serverAllows(j.incarnation)
}

// restRefusal returns the refusal of a request where all servers rest, nil otherwise.
func restRefusal(candidates []serverview.Candidate) *unserved {
	in, allRest := modelpick.RestEnd(candidates)
	if !allRest {
		return nil
	}
	inputs := obstacleFields(candidates)
	inputs["restEndsInMs"] = in.Milliseconds()
	return &unserved{reason: ReasonResting, retryAfter: in, inputs: inputs}
}

// refuseResting answers a request for which all servers rest. Retry-After is the time at which the first rest ends: it isn't
// bounded by the caller's deadline, as an earlier repeat would be refused as well.
func (j *job) refuseResting(refusal *unserved) {
	j.inputs = refusal.inputs
	j.refuseUntil(refusal.reason, spreadTurn(refusal.retryAfter))
}

// lingering chooses a server that leaves and may still get the request, which no other one can serve.
func (j *job) lingering(
	candidates []serverview.Candidate, query modelpick.Query,
) (chosen serverview.Candidate, found bool) {
	query.Lingering = true
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c serverview.Candidate) bool {
		return !c.Lingers || c.Unreachable || c.RoomIn > 0
	})
	if j.service.Engine == nil {
		return modelpick.Plain(candidates, query, newRandom())
	}
	chosen, found, _ = modelpick.Resident(candidates, query, newRandom())
	return chosen, found
}

// observe applies what a server says about itself in an answer, unless the answer may be that of another request or server.
// Failures and rejections don't show that the server doesn't say something any more.
func (j *job) observe(candidate serverview.Candidate, answer *http.Response, info serving.AnswerInfo) {
	notice, isOwn := info.Notice, info.BelongsTo(j.request.ID) && !info.Misdirected && (info.HasDigest || info.NotRun)
	if info.RequestID != j.request.ID || info.Misdirected {
		notice.Rest = 0
	}
	if !isOwn {
		// A rejection needs neither a digest nor the statement that the request hasn't run to ask for rest.
		notice = serving.ServerNotice{Rest: notice.Rest}
	}
	passedAtOnce := info.NotRun || j.route.Kind == serving.Stream && answer.StatusCode < http.StatusMultipleChoices
	j.leavingUnread = notice.Leaving && !passedAtOnce
	notice.Leaving = notice.Leaving && passedAtOnce
	conclusive := isOwn && !info.NotRun && answer.StatusCode < http.StatusInternalServerError
	j.notice(candidate, notice, conclusive)
}

// bodyRead applies what the head of a buffered answer said about leaving, now that its body has been read. The head of an answer
// that breaks off isn't believed.
func (j *job) bodyRead(candidate serverview.Candidate) {
	if j.leavingUnread {
		j.notice(candidate, serving.ServerNotice{Leaving: true}, false)
	}
}

func (j *job) notice(candidate serverview.Candidate, notice serving.ServerNotice, conclusive bool) {
	if j.f.options.Notices != nil {
		j.f.options.Notices.Observe(candidate, notice, j.sentAt, conclusive)
	}
}

// sending records a send.
func (j *job) sending(candidate serverview.Candidate, way SendWay) {
	if j.f.options.Notices != nil {
		j.f.options.Notices.Sending(candidate, way)
	}
}
