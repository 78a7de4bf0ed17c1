package event

import "github.com/sirupsen/logrus"

// Number ranges: 100 process life, 200 gateway, 300 scheduler and fleet, 400 configuration,
// 500 membership and ownership, 600 ledger, 700 platform, 900 stand-ins.
// An event's number never changes meaning; a retired number isn't used again.
var catalogue []Event

func register(number int, level logrus.Level, name, meaning string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns every event in the order of declaration.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }
