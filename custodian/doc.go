// Package custodian keeps jobs that were accepted while the key-value service
// was away, on the disks of several instances, until the service has them. It
// decides nothing about a job: the service's record alone says what became of
// it, and a job is created there once however many custodians bring it.
package custodian
