package placer

import (
	"slices"
	"time"
)

// softwareMemory is how long a software version is remembered that no server has any more.
const softwareMemory = 10 * time.Minute

// HasSoftware reports whether a server of the version is listed that takes new work, so that a
// stream which began there can go on.
func (placer *Placer) HasSoftware(serviceName, software string) bool {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	service := placer.service(serviceName)

	return service.continues(software) && slices.ContainsFunc(service.servers, func(server *serverState) bool {
		return server.Software == software && !server.Leaving
	})
}

// HasOtherSoftware reports whether the service has servers of another version than this one.
func (placer *Placer) HasOtherSoftware(serviceName, software string) bool {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	return slices.ContainsFunc(placer.service(serviceName).servers, func(server *serverState) bool { return server.Software != software })
}

// SoleSoftware returns the version of all servers that the service had in the period, and false if
// there was none or were several, or if this entry has not known the list for so long.
func (placer *Placer) SoleSoftware(serviceName string, period time.Duration) (string, bool) {
	placer.mutex.Lock()
	defer placer.mutex.Unlock()

	now, service := time.Now(), placer.service(serviceName)
	if len(service.servers) == 0 || placer.listedSince.IsZero() || now.Sub(placer.listedSince) < period {
		return "", false
	}

	sole := service.servers[0].Software

	for _, server := range service.servers {
		if server.Software != sole {
			return "", false
		}
	}

	for software, listedAt := range service.softwareListedAt {
		if software != sole && now.Sub(listedAt) < period {
			return "", false
		}
	}

	return sole, true
}

// recordSoftware records the versions that are listed until now. The mutex is held.
func (placer *Placer) recordSoftware(now time.Time) {
	if placer.listedSince.IsZero() {
		placer.listedSince = now
	}

	for _, service := range placer.services {
		for _, server := range service.servers {
			service.softwareListedAt[server.Software] = now
		}

		for software, listedAt := range service.softwareListedAt {
			if now.Sub(listedAt) > softwareMemory {
				delete(service.softwareListedAt, software)
			}
		}
	}
}

// continues reports whether a stream that began at the version can go on at another server of it.
// Where some servers name their version, those that do not may have any.
func (service *service) continues(software string) bool {
	return software != "" || !slices.ContainsFunc(service.servers, func(server *serverState) bool { return server.Software != "" })
}
