// Package event writes numbered, structured log events. The catalogue is docs/EVENTS.md.
package event

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingcleat.example/waxwingcleat/internal/failure"
)

// Fields are the structured values of one event.
type Fields = logrus.Fields

// Event is one entry of the catalogue.
type Event struct {
	Number  int
	Name    string
	Level   logrus.Level
	Meaning string
}

// Log writes the events of one process.
type Log struct {
	entry *logrus.Entry
	// limits applies the rate limit; nil means no limit.
	limits *limiter
}

// NewLog returns a log that writes one JSON object per line to w. The fields are added to every event.
func NewLog(w io.Writer, level logrus.Level, fields Fields) *Log {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return &Log{entry: logger.WithFields(fields)}
}

// NewBoundedLog is like NewLog, but limits the rate of each event. Dropped lines are counted in an event of their own.
func NewBoundedLog(w io.Writer, level logrus.Level, fields Fields) *Log {
	log := NewLog(w, level, fields)
	log.limits = newLimiter()
	return log
}

// Discard returns a log that writes nothing.
func Discard() *Log { return NewLog(io.Discard, logrus.PanicLevel, nil) }

// With returns a log that adds fields to every event.
func (l *Log) With(fields Fields) *Log {
	return &Log{entry: l.entry.WithFields(fields), limits: l.limits}
}

// allow reports whether an event is to be written. It first logs how many lines were dropped before.
func (l *Log) allow(e Event) bool {
	if !l.entry.Logger.IsLevelEnabled(e.Level) {
		return false
	}
	if l.limits == nil {
		return true
	}
	allowed, dropped := l.limits.allow(time.Now(), e)
	if dropped != nil {
		fields := Fields{"event": LinesDropped.Number, "leftOut": dropped}
		l.entry.WithFields(fields).Log(LinesDropped.Level, LinesDropped.Name)
	}
	return allowed
}

// Emit writes one event.
func (l *Log) Emit(e Event, fields Fields) {
	if !l.allow(e) {
		return
	}
	l.entry.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Name)
}

// EmitError writes one event with the error's code, step and peer.
func (l *Log) EmitError(e Event, err error, fields Fields) {
	if !l.allow(e) {
		return
	}
	l.entry.WithFields(fields).WithFields(Fields{
		"event": e.Number,
		"error": err.Error(),
		"code":  failure.CodeOf(err),
		"step":  failure.StepOf(err),
		"peer":  failure.PeerOf(err),
	}).Log(e.Level, e.Name)
}

// SetLevel sets the minimum level of written events. An unknown name has no effect.
func (l *Log) SetLevel(name string) {
	if level, err := logrus.ParseLevel(name); err == nil {
		l.entry.Logger.SetLevel(level)
	}
}
