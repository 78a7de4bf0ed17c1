package main

import (
	_ "embed"
	"encoding/json"
)

// names holds the names of the users' protocol, by the names that this program uses.
var names map[string]string

//go:embed names.json
var namesFile []byte

//go:embed settings.json
var settingsFile []byte

//go:embed config.json
var configFile []byte

func init() {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
}

// object is a JSON object.
type object = map[string]any

// decodeObject decodes an embedded file.
func decodeObject(data []byte) object {
	var decoded object
	if err := json.Unmarshal(data, &decoded); err != nil {
		panic(err)
	}
	return decoded
}
