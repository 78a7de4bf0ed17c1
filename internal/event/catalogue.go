package event

import "github.com/sirupsen/logrus"

// catalogue holds all events in the order of declaration. Number ranges: 100 process lifecycle, 200 gateway,
// 300 scheduler and fleet, 400 configuration, 500 membership, ownership and load queue, 600 ledger, 700 platform,
// 800 serving node, 900 stand-ins. The number of an event never changes, and retired numbers aren't reused.
var catalogue []Event

func register(number int, level logrus.Level, name, meaning string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns every event in the order of declaration.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }
