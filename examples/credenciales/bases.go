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
var bases embed.FS

// market is a market of one of the bases with names in the form of celerydeck.
type market struct {
	name     string
	customer string
	keyHash  string
}

// readBases reads all bases. The name of its base starts the name of a market, so
// that markets of two bases never meet under one name.
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

// readNorte reads a CSV file with a line for each market.
func readNorte() ([]market, error) {
	file, err := bases.Open("bases/norte.csv")
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
			name:     "norte-" + plain(line[1]),
			customer: plain(line[0]),
			keyHash:  line[2],
		})
	}
	return markets, nil
}

type centroFile struct {
	Wardens []struct {
		ID      string   `json:"id"`
		Key     string   `json:"key"`
		Markets []string `json:"markets"`
	} `json:"wardens"`
}

// readCentro reads a JSON file with a list of markets for each warden.
func readCentro() ([]market, error) {
	data, err := bases.ReadFile("bases/centro.json")
	if err != nil {
		return nil, err
	}
	var file centroFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, fmt.Errorf("centro.json: %w", err)
	}
	var markets []market
	for _, warden := range file.Wardens {
		for _, name := range warden.Markets {
			markets = append(markets, market{
				name:     "centro-" + plain(name),
				customer: plain(warden.ID),
				keyHash:  warden.Key,
			})
		}
	}
	return markets, nil
}

// readSur reads a bare list of the markets of one customer.
func readSur() ([]market, error) {
	data, err := bases.ReadFile("bases/sur.txt")
	if err != nil {
		return nil, err
	}
	var markets []market
	for line := range strings.Lines(string(data)) {
		markets = append(markets, market{
			name:     plain(line),
			customer: "ferias-sur",
			keyHash:  deckconfig.HashKey("replace-this-sur"),
		})
	}
	return markets, nil
}

var notPlain = regexp.MustCompile(`[^a-z0-9]+`)

// plain turns a name into lower case with single dashes.
func plain(name string) string {
	return strings.Trim(notPlain.ReplaceAllString(strings.ToLower(name), "-"), "-")
}
