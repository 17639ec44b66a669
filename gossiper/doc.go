// Package gossiper tells other entries what runs here, in datagrams that may be
// lost, so that entries do not fill each other's places.
package gossiper
