package limiter

import (
	"net"
	"syscall"
)

// hasUnreadBytes reports whether bytes of the other end wait to be read. Connections without a
// descriptor have none.
func hasUnreadBytes(conn net.Conn) bool {
	system, found := conn.(syscall.Conn)
	if !found {
		return false
	}

	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}

	unread := false
	err = raw.Control(func(descriptor uintptr) {
		count, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && count > 0
	})

	return err == nil && unread
}
