package node

import (
	"context"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
)

const (
	// reservationLifetime is how long after its request a grant may be used, by a clock that goes on while the VM is
	// suspended. It covers the wait at the prefill gate and a new connection.
	reservationLifetime = 1200 * time.Millisecond
	// unreadLimitAnswers bounds the answers to one request that wait to be read; coordinators repeat them.
	unreadLimitAnswers = 4
)

// limitCall is one request to the coordinator of a server's limit.
type limitCall struct {
	limits      *limits
	server      limitedServer
	coordinator string
	request     peerlink.LimitRequest
	patience    time.Duration
	// sentAt is when the request was last sent, by the clock of bootTime.
	sentAt time.Duration
}

// await sends the request until it's answered. answered is false when the coordinator is silent, ctx ended or the patience
// was used up.
func (c *limitCall) await(ctx context.Context) (answer requestlimit.Answer, answered bool) {
	id, answers := c.limits.pending.register(unreadLimitAnswers)
	defer c.limits.pending.unregister(id)
	c.request.ID = id
	expired := time.NewTimer(max(c.patience, answerTimeout) + resendInterval)
	defer expired.Stop()
	resend := time.NewTimer(resendInterval)
	defer resend.Stop()
	answeredAt, interval, timeout := time.Now(), resendInterval, answerTimeout
	c.send()
	for {
		select {
		case answer = <-answers:
			if !answer.Queued {
				return answer, true
			}
			answeredAt, interval, timeout = time.Now(), queuedResendInterval, queuedAnswerTimeout
		case <-resend.C:
			if time.Since(answeredAt) >= timeout {
				c.giveBack()
				return requestlimit.Answer{}, false
			}
			c.send()
			resend.Reset(interval)
		case <-expired.C:
			c.giveBack()
			return requestlimit.Answer{}, interval == queuedResendInterval
		case <-ctx.Done():
			c.giveBack()
			return requestlimit.Answer{}, false
		}
	}
}

func (c *limitCall) send() {
	now := time.Now()
	c.sentAt = bootTime()
	if c.coordinator == c.limits.node.link.Address() {
		c.limits.handleRequest(now, c.coordinator, c.request)
		return
	}
	// The notice tells a new coordinator of the limit.
	notices := encodeLimitNotices(now, c.limits.noticeOf(c.server))
	c.limits.node.link.Send(peerlink.Message{LimitRequest: &c.request, LimitNotices: notices}, c.coordinator)
}

// valid reports whether the grant may still be used.
func (c *limitCall) valid() bool { return bootTime()-c.sentAt < reservationLifetime }

// giveBack ends the request at the coordinator, granted or not.
func (c *limitCall) giveBack() {
	unused := peerlink.LimitReturn{ServerID: c.server.id, ID: c.request.ID}
	if c.coordinator == c.limits.node.link.Address() {
		c.limits.handleReturn(time.Now(), c.coordinator, unused)
		return
	}
	c.limits.node.link.Send(peerlink.Message{LimitReturn: &unused}, c.coordinator)
}
