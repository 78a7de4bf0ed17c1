package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/connset"
)

// arrival is a body that is being read.
type arrival struct {
	bodies    *Bodies
	request   *http.Request
	control   *http.ResponseController
	holding   *bytelimit.Holding
	limit     int64
	startedAt time.Time
	// endsAt is when the body has to be there; zero for no bound.
	endsAt time.Time
	data   []byte
	// receivedBefore is what had been read from the connection when the body began, paced how many bytes of delimiters were paced.
	receivedBefore, paced int64
	// interrupted is closed when the body has yielded.
	interrupted chan struct{}

	// The mutex of bodies guards the rest. progressAt is when the last progressBytes had arrived, progress how many bytes had by then.
	progressAt time.Time
	progress   int
	yielded    bool
}

func (b *Bodies) newArrival(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) *arrival {
	now := time.Now()
	a := &arrival{
		bodies: b, request: r, control: http.NewResponseController(w), holding: b.budget.Hold(),
		limit: limit, startedAt: now, endsAt: deadline, interrupted: make(chan struct{}), progressAt: now,
	}
	if deadline.IsZero() && b.limits.Timeout > 0 {
		a.endsAt = now.Add(b.limits.Timeout)
	}
	return a
}

// reserve takes room for a body whose length is announced, before its first byte is read.
func (a *arrival) reserve() error {
	announced := a.request.ContentLength
	if announced > a.limit {
		return ErrTooLarge
	}
	size := max(announced, 0)
	if err := a.grow(int(size)); err != nil {
		return err
	}
	a.data = make([]byte, 0, size)
	return nil
}

// grow takes room for a body of so many bytes.
func (a *arrival) grow(size int) error { return a.bodies.grow(a, a.bodies.limits.Copies*size) }

// read reads the body to its end.
func (a *arrival) read() (err error) {
	ctx := a.request.Context()
	connset.AwaitRequest(ctx)
	a.receivedBefore = connset.Received(ctx)
	a.bodies.begin(a)
	for err == nil {
		err = a.readSome()
	}
	if a.bodies.end(a) {
		return ErrNoRoom
	}
	if !errors.Is(err, io.EOF) {
		return a.failed(err)
	}
	// net/http goes on reading from the connection to notice that the caller leaves, which an expired deadline would look like.
	return a.setDeadline(time.Time{})
}

// setDeadline sets when the next byte has to be there, if the connection has deadlines.
func (a *arrival) setDeadline(at time.Time) error {
	if err := a.control.SetReadDeadline(at); !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// failed returns the error of Read for an error of readSome.
func (a *arrival) failed(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrTooSlow
	}
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNoRoom) || errors.Is(err, ErrTooSlow) {
		return err
	}
	return &readError{err}
}

// readError is an error of a caller's connection. Its text, which callers get, holds no addresses.
type readError struct{ err error }

// Error implements error.
func (*readError) Error() string { return "the body could not be read" }

// Unwrap returns the error of the connection.
func (e *readError) Unwrap() error { return e.err }

// readSome reads what has arrived, at least one byte. It returns io.EOF at the end of the body.
func (a *arrival) readSome() error {
	space, err := a.space()
	if err != nil {
		return err
	}
	if err := a.setDeadline(a.nextDeadline(time.Now())); err != nil {
		return err
	}
	if a.hasYielded() {
		// The deadline above may have replaced the one that interrupts this read.
		return ErrNoRoom
	}
	n, err := a.request.Body.Read(space)
	if len(a.data)+n > cap(a.data) {
		return ErrTooLarge
	}
	a.data = a.data[:len(a.data)+n]
	if err != nil {
		return err
	}
	a.noteProgress()
	return a.pace()
}

// space returns where the next bytes go. It grows the buffer of a body in chunks; one with a length has its whole buffer, and only its
// end is still to be read.
func (a *arrival) space() ([]byte, error) {
	if len(a.data) < cap(a.data) {
		return a.data[len(a.data):cap(a.data)], nil
	}
	if a.request.ContentLength >= 0 || int64(len(a.data)) >= a.limit {
		return make([]byte, 1), nil
	}
	size := int(min(int64(max(2*cap(a.data), firstChunkedBytes)), a.limit))
	if err := a.grow(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(a.data), size)
	copy(grown, a.data)
	a.data = grown
	return a.data[len(a.data):size], nil
}

// nextDeadline returns when the next byte has to be there; zero for no bound.
func (a *arrival) nextDeadline(now time.Time) time.Time {
	stall := a.bodies.limits.Stall
	if stall <= 0 || !a.endsAt.IsZero() && a.endsAt.Before(now.Add(stall)) {
		return a.endsAt
	}
	return now.Add(stall)
}

func (a *arrival) hasYielded() bool {
	a.bodies.mu.Lock()
	defer a.bodies.mu.Unlock()
	return a.yielded
}

// noteProgress records that enough bytes have arrived for the body to keep its room.
func (a *arrival) noteProgress() {
	a.bodies.mu.Lock()
	defer a.bodies.mu.Unlock()
	if len(a.data)-a.progress >= progressBytes {
		a.progress, a.progressAt = len(a.data), time.Now()
	}
}

// pace waits for the turn of the delimiters that came with the body.
func (a *arrival) pace() error {
	if a.request.ContentLength >= 0 {
		return nil
	}
	delimiters := connset.Received(a.request.Context()) - a.receivedBefore - int64(len(a.data))
	if delimiters <= max(unpacedDelimiters, a.paced) {
		return nil
	}
	bytes := min(delimiters-max(unpacedDelimiters, a.paced), bytelimit.PacerBurst)
	a.paced = delimiters
	if !a.bodies.delimiters.Wait(int(bytes), a.interrupted) {
		return ErrNoRoom
	}
	return nil
}

// interrupt ends the read in progress. The caller holds the mutex of bodies.
func (a *arrival) interrupt() {
	close(a.interrupted)
	// The read has ended already if the connection has.
	_ = a.setDeadline(time.Now())
}
