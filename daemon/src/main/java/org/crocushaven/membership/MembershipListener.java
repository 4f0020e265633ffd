package org.crocushaven.membership;

/** Receives changes of the known instances; called without any lock held. */
@FunctionalInterface
public interface MembershipListener {
    /** Called when a record has been added or changed. */
    void changed(InstanceRecord record);
}
