package fleet

import "github.com/celerydeck/celerydeck/internal/coordination/routes"

// unusableAccounts returns the positions, from 0, of the account entries that could not be decoded.
// The entries have no name that could be trusted.
func unusableAccounts(c *routes.Config) []int {
	var list []int
	for i := range c.Accounts {
		if c.Accounts[i].Unusable {
			list = append(list, i)
		}
	}
	return list
}
