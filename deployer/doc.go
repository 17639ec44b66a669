// Package deployer starts a deployment of separate processes against emulators of
// the platform, connected by proxies into which tests can inject network faults.
package deployer
