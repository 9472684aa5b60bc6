package configsync

import (
	"fmt"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/state"
)

// CatalogEdits converts changes of configuration objects to edits of a catalog.
func CatalogEdits(changes []Change) ([]state.Edit, error) {
	edits := make([]state.Edit, 0, len(changes))
	for _, c := range changes {
		edit, err := catalogEdit(c)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.Key, err)
		}
		edits = append(edits, edit)
	}
	return edits, nil
}

// catalogEdit decodes one change and converts it to an edit of a catalog.
func catalogEdit(c Change) (state.Edit, error) {
	switch c.Key.Kind {
	case ObjectRanks:
		var ranks []deckconfig.Rank
		err := decodeOptional(c.Value, &ranks)
		return state.RanksEdit{Ranks: ranks}, err
	case ObjectCustomer:
		customer, err := decodePointer[deckconfig.Customer](c.Value)
		return state.CustomerEdit{Name: state.CustomerID(c.Key.Name), Customer: customer}, err
	case ObjectService:
		service, err := decodePointer[deckconfig.Service](c.Value)
		return state.ServiceEdit{Name: state.ServiceID(c.Key.Name), Service: service}, err
	case ObjectOperator:
		operator, err := decodePointer[deckconfig.Operator](c.Value)
		return state.OperatorEdit{Name: c.Key.Name, Operator: operator}, err
	case ObjectAdapter:
		service, adapter, ok := strings.Cut(c.Key.Name, "/")
		if !ok {
			return nil, ErrBadAdapterName
		}
		value, err := decodePointer[deckconfig.Adapter](c.Value)
		ref := state.AdapterRef{Service: state.ServiceID(service), Adapter: adapter}
		return state.AdapterEdit{Ref: ref, Adapter: value}, err
	}
	return nil, ErrUnknownKind
}

// decodePointer decodes the value of a change strictly. It returns nil for an empty
// value, because a change without a value deletes its object.
func decodePointer[T any](value []byte) (*T, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var v T
	if err := strictUnmarshal(value, &v); err != nil {
		return nil, err
	}
	return &v, nil
}

// decodeOptional decodes a value strictly into v. It leaves v unchanged if the value
// is empty.
func decodeOptional(value []byte, v any) error {
	if len(value) == 0 {
		return nil
	}
	return strictUnmarshal(value, v)
}
