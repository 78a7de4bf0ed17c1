package load

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Counter returns the value at path, such as engines.engine-1.loads, of the stand-ins' counters. If the value is an
// object of numbers, it returns their sum.
func Counter(counters []byte, path string) (int64, error) {
	current := json.RawMessage(counters)
	for _, name := range strings.Split(path, ".") {
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(current, &fields); err != nil {
			return 0, fmt.Errorf("counter %s: the parent of %q is not an object: %w", path, name, err)
		}
		found, ok := fields[name]
		if !ok {
			return 0, fmt.Errorf("counter %s: there is no %q", path, name)
		}
		current = found
	}
	var number int64
	if json.Unmarshal(current, &number) == nil {
		return number, nil
	}
	var numbers map[string]int64
	if err := json.Unmarshal(current, &numbers); err != nil {
		return 0, fmt.Errorf("counter %s: neither a number nor an object of numbers: %w", path, err)
	}
	for _, value := range numbers {
		number += value
	}
	return number, nil
}
