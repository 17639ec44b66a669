// Package batcher stores batch jobs in the key-value service and runs their
// items in places that online requests leave free. Each job has one owner at a
// time. Each result is stored once, because its segment is created in a
// transaction that requires the head written by the owner.
package batcher
