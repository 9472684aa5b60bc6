package deckconfig

import _ "embed"

// Schema is the JSON Schema of the configuration format.
//
//go:embed schema.json
var Schema []byte
