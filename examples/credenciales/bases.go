package main

import (
	"embed"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/celerydeck/celerydeck/deckconfig"
)

//go:embed bases
var baseFiles embed.FS

// market is a street market in one of the customer bases. Its name and the name of its customer are valid names
// of a celerydeck configuration.
type market struct {
	name     string
	customer string
	keyHash  string
}

// readBases returns the markets of all customer bases. The name of each market begins with the name of its base
// (norte, centro or sur), so that markets of different bases never have the same name.
func readBases() ([]market, error) {
	var all []market
	for _, read := range []func() ([]market, error){readNorte, readCentro, readSur} {
		markets, err := read()
		if err != nil {
			return nil, err
		}
		all = append(all, markets...)
	}
	return all, nil
}

// readNorte returns the markets of the base norte, a CSV file. Each line after the header has the columns
// customer, market and key hash.
func readNorte() ([]market, error) {
	file, err := baseFiles.Open("bases/norte.csv")
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("norte.csv: %w", err)
	}
	var markets []market
	for _, line := range lines[1:] {
		markets = append(markets, market{
			name:     "norte-" + slug(line[1]),
			customer: slug(line[0]),
			keyHash:  line[2],
		})
	}
	return markets, nil
}

// centroBase is the content of the base centro, a JSON file. Key holds the hash of an API key.
type centroBase struct {
	Wardens []struct {
		ID      string   `json:"id"`
		Key     string   `json:"key"`
		Markets []string `json:"markets"`
	} `json:"wardens"`
}

// readCentro returns the markets of the base centro. The base lists the markets of each warden, and each warden
// is a customer.
func readCentro() ([]market, error) {
	data, err := baseFiles.ReadFile("bases/centro.json")
	if err != nil {
		return nil, err
	}
	var file centroBase
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, fmt.Errorf("centro.json: %w", err)
	}
	var markets []market
	for _, warden := range file.Wardens {
		for _, name := range warden.Markets {
			markets = append(markets, market{
				name:     "centro-" + slug(name),
				customer: slug(warden.ID),
				keyHash:  warden.Key,
			})
		}
	}
	return markets, nil
}

// readSur returns the markets of the base sur, a text file with a market on each line, such as SUR/001/ABASTO. All
// markets of sur belong to one customer.
func readSur() ([]market, error) {
	data, err := baseFiles.ReadFile("bases/sur.txt")
	if err != nil {
		return nil, err
	}
	var markets []market
	for line := range strings.Lines(string(data)) {
		markets = append(markets, market{
			name:     slug(line),
			customer: "ferias-sur",
			keyHash:  deckconfig.HashKey("replace-this-sur"),
		})
	}
	return markets, nil
}

var slugSeparators = regexp.MustCompile(`[^a-z0-9]+`)

// slug converts a name to lower case and replaces each sequence of characters other than a-z and 0-9 by a dash. It
// trims dashes at both ends.
func slug(name string) string {
	return strings.Trim(slugSeparators.ReplaceAllString(strings.ToLower(name), "-"), "-")
}
