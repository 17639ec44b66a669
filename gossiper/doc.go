// Package gossiper exchanges load reports between entries, in datagrams that may
// be lost, so that an entry doesn't acquire places that another one already uses.
package gossiper
