package configsync

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
)

// digestBytes is the length of a digest before hex encoding. Hashes are truncated to
// this length.
const digestBytes = 16

// Errors of Join and CatalogEdits.
var (
	ErrUnknownKind    = errors.New("configsync: unknown kind of object")
	ErrOrphanAdapter  = errors.New("configsync: adapter of a service that does not exist")
	ErrBadAdapterName = errors.New("configsync: adapter object without service/adapter name")
)

// Object is one object of a configuration in its encoded form.
type Object struct {
	Key   ObjectKey       `json:"key"`
	Value json.RawMessage `json:"value"`
}

// DigestOf returns the digest of an encoded value, such as the canonical JSON of
// an object.
func DigestOf(value []byte) Digest {
	if len(value) == 0 {
		return ""
	}
	sum := sha256.Sum256(value)
	return Digest(hex.EncodeToString(sum[:digestBytes]))
}

// CompareKeys orders object keys by kind and name.
func CompareKeys(a, b ObjectKey) int {
	return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Name, b.Name))
}

// AdapterKey returns the key of an adapter object.
func AdapterKey(service, adapter string) ObjectKey {
	return ObjectKey{Kind: ObjectAdapter, Name: service + "/" + adapter}
}

// Split returns the objects of a configuration, ordered by key. Adapters become
// objects apart from their service.
func Split(config *deckconfig.Config) ([]Object, error) {
	var s splitter
	if len(config.Ranks) > 0 {
		s.add(ObjectKey{Kind: ObjectRanks}, config.Ranks)
	}
	for _, c := range config.Customers {
		s.add(ObjectKey{Kind: ObjectCustomer, Name: c.Name}, c)
	}
	for _, o := range config.Operators {
		s.add(ObjectKey{Kind: ObjectOperator, Name: o.Name}, o)
	}
	for _, service := range config.Services {
		withoutAdapters := service
		withoutAdapters.Adapters = nil
		s.add(ObjectKey{Kind: ObjectService, Name: service.Name}, withoutAdapters)
		for _, a := range service.Adapters {
			s.add(AdapterKey(service.Name, a.Name), a)
		}
	}
	slices.SortFunc(s.objects, func(a, b Object) int { return CompareKeys(a.Key, b.Key) })
	return s.objects, s.err
}

// splitter collects encoded objects and joins the errors of their encoding.
type splitter struct {
	objects []Object
	err     error
}

func (s *splitter) add(key ObjectKey, v any) {
	value, err := json.Marshal(v)
	s.err = errors.Join(s.err, err)
	s.objects = append(s.objects, Object{Key: key, Value: value})
}

// Join builds a configuration from its objects. Its lists are ordered by name.
func Join(objects []Object) (*deckconfig.Config, error) {
	sorted := slices.Clone(objects)
	slices.SortFunc(sorted, func(a, b Object) int { return CompareKeys(a.Key, b.Key) })
	config := &deckconfig.Config{Format: deckconfig.Format}
	adapters := make(map[string][]deckconfig.Adapter)
	for _, o := range sorted {
		if err := joinObject(config, adapters, o); err != nil {
			return nil, fmt.Errorf("%s: %w", o.Key, err)
		}
	}
	for i := range config.Services {
		name := config.Services[i].Name
		config.Services[i].Adapters = adapters[name]
		delete(adapters, name)
	}
	for service := range adapters {
		return nil, fmt.Errorf("%w: %s", ErrOrphanAdapter, service)
	}
	return config, nil
}

// joinObject adds an object to a configuration. An adapter is collected in a map by
// service instead, because objects of kind adapter sort before their services.
func joinObject(config *deckconfig.Config, adapters map[string][]deckconfig.Adapter, o Object) error {
	switch o.Key.Kind {
	case ObjectRanks:
		return strictUnmarshal(o.Value, &config.Ranks)
	case ObjectCustomer:
		var c deckconfig.Customer
		err := strictUnmarshal(o.Value, &c)
		config.Customers = append(config.Customers, c)
		return err
	case ObjectOperator:
		var operator deckconfig.Operator
		err := strictUnmarshal(o.Value, &operator)
		config.Operators = append(config.Operators, operator)
		return err
	case ObjectService:
		var s deckconfig.Service
		err := strictUnmarshal(o.Value, &s)
		config.Services = append(config.Services, s)
		return err
	case ObjectAdapter:
		service, _, ok := strings.Cut(o.Key.Name, "/")
		if !ok {
			return ErrBadAdapterName
		}
		var a deckconfig.Adapter
		err := strictUnmarshal(o.Value, &a)
		adapters[service] = append(adapters[service], a)
		return err
	}
	return ErrUnknownKind
}

// strictUnmarshal decodes JSON and rejects unknown fields.
func strictUnmarshal(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(v)
}

// Diff returns the changes that turn base into next. A nil base stands for an
// empty configuration.
func Diff(base, next *deckconfig.Config) ([]Change, error) {
	var before []Object
	if base != nil {
		var err error
		if before, err = Split(base); err != nil {
			return nil, err
		}
	}
	after, err := Split(next)
	if err != nil {
		return nil, err
	}
	return diffObjects(before, after), nil
}

// diffObjects returns the changes between two lists that are ordered by key.
func diffObjects(before, after []Object) []Change {
	var changes []Change
	for len(before) > 0 || len(after) > 0 {
		switch order := compareFirst(before, after); {
		case order < 0:
			changes = append(changes, Change{Key: before[0].Key, Base: DigestOf(before[0].Value)})
			before = before[1:]
		case order > 0:
			changes = append(changes, Change{Key: after[0].Key, Value: after[0].Value})
			after = after[1:]
		default:
			if !bytes.Equal(before[0].Value, after[0].Value) {
				changes = append(changes, Change{
					Key:   after[0].Key,
					Base:  DigestOf(before[0].Value),
					Value: after[0].Value,
				})
			}
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

// compareFirst compares the keys of the first objects. An empty list sorts after
// any other.
func compareFirst(before, after []Object) int {
	switch {
	case len(before) == 0:
		return 1
	case len(after) == 0:
		return -1
	}
	return CompareKeys(before[0].Key, after[0].Key)
}
