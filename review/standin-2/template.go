package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// lookUp returns the value at a path such as "listen.front" or "ports.0".
func lookUp(fields any, path string) (value any, found bool) {
	value = fields
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case object:
			if value, found = v[name]; !found {
				return nil, false
			}
		case []any:
			index, err := strconv.Atoi(name)
			if err != nil || index < 0 || index >= len(v) {
				return nil, false
			}
			value = v[index]
		default:
			return nil, false
		}
	}
	return value, value != nil
}

// render fills a settings template as the platform does. It knows sections that are present or missing, and plain values.
func render(template string, fields object) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		value, found := lookUp(fields, parts[2])
		if (found && value != false) == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value, _ := lookUp(fields, parts[1])
		if parts[2] != "" {
			data, err := json.Marshal(value)
			if err != nil {
				return ""
			}
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}
