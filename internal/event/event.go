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

// Log writes events of one process.
type Log struct {
	entry *logrus.Entry
	// limits bounds the lines of each event; nil means no bound.
	limits *limiter
}

// NewLog returns a log that writes one JSON object a line to w. The fields are added to every event.
func NewLog(w io.Writer, level logrus.Level, fields Fields) *Log {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return &Log{entry: logger.WithFields(fields)}
}

// NewBoundedLog is NewLog with a bound on the lines of each event in a second. What was left out is counted in a line.
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

// writes reports whether a line of the event is to be written, and first writes how many were left out before.
func (l *Log) writes(e Event) bool {
	if !l.entry.Logger.IsLevelEnabled(e.Level) {
		return false
	}
	if l.limits == nil {
		return true
	}
	allowed, leftOut := l.limits.allow(time.Now(), e)
	if leftOut != nil {
		l.entry.WithFields(Fields{"event": LinesLeftOut.Number, "leftOut": leftOut}).Log(LinesLeftOut.Level, LinesLeftOut.Name)
	}
	return allowed
}

// Emit writes one event.
func (l *Log) Emit(e Event, fields Fields) {
	if !l.writes(e) {
		return
	}
	l.entry.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Name)
}

// EmitError writes one event with the error's code, step and peer.
func (l *Log) EmitError(e Event, err error, fields Fields) {
	if !l.writes(e) {
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

// SetLevel sets the least severe level that is written. An unknown level changes nothing.
func (l *Log) SetLevel(name string) {
	if level, err := logrus.ParseLevel(name); err == nil {
		l.entry.Logger.SetLevel(level)
	}
}
