package configcheck

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
)

// compareOwn returns the differences between two configurations of package deckconfig, and adds a
// finding for each version of an adapter that changes, which daemons refuse.
func (r *Report) compareOwn(base *deckconfig.Config) ([]Change, error) {
	before, err := ownObjects(base)
	if err != nil {
		return nil, err
	}
	after, err := ownObjects(r.own)
	if err != nil {
		return nil, err
	}
	var errs deckconfig.Errors
	if errors.As(deckconfig.CheckChange(base, r.own), &errs) {
		for _, e := range errs {
			r.Findings = append(r.Findings, Finding{Severity: Error, Kind: ChangedVersion, Text: e.Error()})
		}
	}
	return compareObjects("", before, after), nil
}

// ownObjects returns the objects of a configuration by name. Lists whose order has no meaning
// become sets.
func ownObjects(config *deckconfig.Config) (map[string]object, error) {
	parts, err := configsync.Split(config)
	if err != nil {
		return nil, err
	}
	hashes, allowed, versions := jsonName(mustField[deckconfig.Customer]("KeyHashes")), jsonName(mustField[deckconfig.Service]("Customers")), jsonName(mustField[deckconfig.Adapter]("Versions"))
	list := make(map[string]object, len(parts))
	for i := range config.Ranks {
		value, err := json.Marshal(&config.Ranks[i])
		if err != nil {
			return nil, err
		}
		o := object{fields: fields{"position": strconv.Itoa(i)}}
		for name, raw := range rawObject(value) {
			o.fields[name] = strings.Trim(string(raw), `"`)
		}
		list[uniqueName(list, "rank/"+config.Ranks[i].Name)] = o
	}
	for _, part := range parts {
		if part.Key.Kind == configsync.ObjectRanks {
			continue // the order of ranks has a meaning
		}
		o := object{fields: make(fields), sets: make(map[string][]string)}
		for name, raw := range rawObject(part.Value) {
			switch {
			case name == hashes:
				for _, hash := range stringsIn(raw) {
					o.sets["key"] = append(o.sets["key"], fingerprintOf(hash))
				}
			case name == allowed:
				o.sets["customer"] = stringsIn(raw)
			case name == versions && part.Key.Kind == configsync.ObjectAdapter:
				o.sets["version"] = versionsIn(raw)
			default:
				o.fields[name] = strings.Trim(string(raw), `"`)
			}
		}
		list[uniqueName(list, part.Key.String())] = o
	}
	return list, nil
}

func stringsIn(raw json.RawMessage) []string {
	var list []string
	_ = json.Unmarshal(raw, &list) // the encoding of a list of strings
	return list
}

func versionsIn(raw json.RawMessage) []string {
	var versions []deckconfig.Version
	_ = json.Unmarshal(raw, &versions) // the encoding of a list of versions
	list := make([]string, len(versions))
	for i, v := range versions {
		list[i] = v.Name + " from " + v.Source
	}
	return list
}
