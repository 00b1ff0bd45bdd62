package main

import (
	_ "embed"
	"encoding/json"
)

// namesJSON holds the names of the users' platform: headers, paths and the command of the
// deploy file.
//
//go:embed names.json
var namesJSON []byte

var names = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesJSON, &m); err != nil {
		panic(err)
	}
	return m
}()

// name returns a name of the platform.
func name(key string) string {
	v, ok := names[key]
	if !ok {
		panic("no name for " + key)
	}
	return v
}
