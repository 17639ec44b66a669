// Package batcher keeps batch jobs in the key-value service and runs their
// items in the places that online work leaves. A job has one owner at a time;
// what makes a result single is that its segment is created once, under the
// head that its owner wrote.
package batcher
