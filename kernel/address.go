package kernel

import (
	"net"
	"strconv"

	"github.com/juju/errors"
)

// CheckAddress returns an error for an address to which no connection can be made: it needs a
// host and a port from 1 to 65535.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.NewNotValid(err, "address "+strconv.Quote(address))
	}

	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || host == "" {
		return errors.NotValidf("address %q, expected a host and a port from 1 to 65535,", address)
	}

	return nil
}
